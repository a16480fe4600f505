/**
 * The order in which waiting jobs get their tasks placed.
 *
 * Urgent jobs go first. Then jobs are ordered by the dominant share of their team, which is the
 * largest share of its quota that it holds in any resource; the smallest goes first. Jobs of one
 * team are ordered by response ratio, which is waiting time relative to expected run time: short
 * jobs overtake long ones, but a long job that keeps waiting eventually goes first. Long tasks may
 * hold only a share of the capacity, so that short ones need not wait for them to end.
 */
package sycamoremast.coordination.placement

import sycamoremast.coordination.Resources

/** A job with a waiting task; [expectedMillis] is the expected run time of one task. */
data class WaitingJob(
    val team: String,
    val need: Resources,
    val isUrgent: Boolean,
    val expectedMillis: Long,
    val waitedMillis: Long
) {
    /** Whether the tasks of this job are subject to the capacity limit for long tasks. */
    val isLong: Boolean get() = expectedMillis >= LONG_THRESHOLD_MILLIS && !isUrgent

    internal val responseRatio: Double get() = 1.0 + waitedMillis.toDouble() / (expectedMillis + 1)

    companion object {
        /** The expected run time from which a task is long. */
        const val LONG_THRESHOLD_MILLIS = 10 * 60 * 1_000L
    }
}

/** The resources of a shard's [capacity] that are held by each team and by long tasks. */
class HeldShares(var capacity: Resources = Resources.NONE) {
    private val heldByTeam = HashMap<String, Resources>()
    private val quotaByTeam = HashMap<String, Resources>()
    private var heldByLong = Resources.NONE

    /** Sets the quota of [team] in this shard. */
    fun setQuota(team: String, quota: Resources) {
        quotaByTeam[team] = quota
    }

    /** Adds [amount] to the resources held by [team]. */
    fun hold(team: String, amount: Resources, isLong: Boolean) {
        heldByTeam.merge(team, amount, Resources::plus)
        if (isLong) heldByLong += amount
    }

    /** Subtracts [amount] from the resources held by [team]. */
    fun release(team: String, amount: Resources, isLong: Boolean) {
        heldByTeam.computeIfPresent(team) { _, sum -> sum.minusFloored(amount) }
        if (isLong) heldByLong = heldByLong.minusFloored(amount)
    }

    /** Clears the held resources, but keeps the quotas. */
    fun clear() {
        heldByTeam.clear()
        heldByLong = Resources.NONE
    }

    /** Returns whether a task of [job] is within its team's quota and the limit for long tasks. */
    fun admits(job: WaitingJob) = isWithinQuota(job) && (!job.isLong || isWithinLongLimit(job))

    /** Returns the largest share of its quota that [team] holds in any resource. */
    fun dominantShareOf(team: String): Double {
        val quota = quotaByTeam[team] ?: capacity
        return (heldByTeam[team] ?: Resources.NONE).largestShareOf(quota)
    }

    /** Returns whether a task of [job] fits into the quota; a single task is always allowed. */
    private fun isWithinQuota(job: WaitingJob): Boolean {
        val quota = quotaByTeam[job.team] ?: return true
        val holds = heldByTeam[job.team] ?: Resources.NONE
        return holds == Resources.NONE || (holds + job.need).fitsIn(quota)
    }

    private fun isWithinLongLimit(job: WaitingJob) = heldByLong == Resources.NONE ||
        (heldByLong + job.need).fitsIn(capacity.percent(MAX_LONG_PERCENT))

    private fun Resources.percent(percent: Long) = Resources(
        (milliCpus * percent).hundredthsRoundedUp(),
        (memoryMib * percent).hundredthsRoundedUp(),
        (accelerators * percent).hundredthsRoundedUp()
    )

    private fun Long.hundredthsRoundedUp() = (this + HUNDRED - 1) / HUNDRED

    private fun Resources.largestShareOf(whole: Resources) = maxOf(
        milliCpus.toDouble() / whole.milliCpus.coerceAtLeast(1),
        memoryMib.toDouble() / whole.memoryMib.coerceAtLeast(1),
        accelerators.toDouble() / whole.accelerators.coerceAtLeast(1)
    )

    private companion object {
        /** The share of the capacity that long tasks may hold. */
        const val MAX_LONG_PERCENT = 75L
        const val HUNDRED = 100L
    }
}

/** Returns a comparator of waiting jobs by [shares]; the job to place next comes first. */
fun queueOrder(shares: HeldShares): Comparator<WaitingJob> =
    compareByDescending<WaitingJob> { it.isUrgent }
        .thenBy { shares.dominantShareOf(it.team) }
        .thenByDescending { it.responseRatio }
