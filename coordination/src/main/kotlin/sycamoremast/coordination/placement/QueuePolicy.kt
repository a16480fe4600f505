/**
 * Which job's task is placed next.
 *
 * Urgent jobs go first. Then the team goes first that holds the smallest part of its quota, and of
 * its jobs the one that has waited longest in proportion to its expected time: short jobs pass long
 * ones, yet a long one that waits goes first in the end. Long work never holds more than a part of
 * the capacity, so short work does not wait until it ends.
 */
package sycamoremast.coordination.placement

import sycamoremast.coordination.Resources

/** A job with a waiting task; [expectedMillis] is the expected time of one task. */
data class WaitingJob(
    val team: String,
    val need: Resources,
    val isUrgent: Boolean,
    val expectedMillis: Long,
    val waitedMillis: Long
) {
    /** Whether tasks of this length may hold only a part of the capacity. */
    val isLong: Boolean get() = expectedMillis >= LONG_FROM_MILLIS && !isUrgent

    internal val responseRatio: Double get() = 1.0 + waitedMillis.toDouble() / (expectedMillis + 1)

    companion object {
        /** The expected time from which a task counts as long. */
        const val LONG_FROM_MILLIS = 10 * 60 * 1_000L
    }
}

/** What teams and long work hold of a shard's [capacity]. */
class HeldShares(var capacity: Resources = Resources.NONE) {
    private val held = HashMap<String, Resources>()
    private val quotas = HashMap<String, Resources>()
    private var heldByLong = Resources.NONE

    /** Sets the most that [team] may hold here. */
    fun setQuota(team: String, quota: Resources) {
        quotas[team] = quota
    }

    /** Notes that [team] holds [amount] more. */
    fun hold(team: String, amount: Resources, isLong: Boolean) {
        held.merge(team, amount, Resources::plus)
        if (isLong) heldByLong += amount
    }

    /** Notes that [team] no longer holds [amount]. */
    fun release(team: String, amount: Resources, isLong: Boolean) {
        held.computeIfPresent(team) { _, sum -> sum.minusFloored(amount) }
        if (isLong) heldByLong = heldByLong.minusFloored(amount)
    }

    /** Forgets what is held, but not the quotas. */
    fun clear() {
        held.clear()
        heldByLong = Resources.NONE
    }

    /** Returns whether neither the team's quota nor the limit of long work bars a task of [job]. */
    fun admits(job: WaitingJob) = isWithinQuota(job) && (!job.isLong || isWithinLongShare(job))

    /** Returns the part of its quota that [team] holds, in the dimension where it is largest. */
    fun shareOf(team: String): Double {
        val quota = quotas[team] ?: capacity
        return (held[team] ?: Resources.NONE).largestPartOf(quota)
    }

    private fun isWithinQuota(job: WaitingJob): Boolean {
        val quota = quotas[job.team] ?: return true
        val holds = held[job.team] ?: Resources.NONE
        return holds == Resources.NONE || (holds + job.need).fitsIn(quota)
    }

    private fun isWithinLongShare(job: WaitingJob) = heldByLong == Resources.NONE ||
        (heldByLong + job.need).fitsIn(capacity.percent(LONG_SHARE_PERCENT))

    private fun Resources.percent(percent: Long) = Resources(
        (milliCpus * percent).hundredthsRoundedUp(),
        (memoryMib * percent).hundredthsRoundedUp(),
        (accelerators * percent).hundredthsRoundedUp()
    )

    private fun Long.hundredthsRoundedUp() = (this + HUNDRED - 1) / HUNDRED

    private fun Resources.largestPartOf(whole: Resources) = maxOf(
        milliCpus.toDouble() / whole.milliCpus.coerceAtLeast(1),
        memoryMib.toDouble() / whole.memoryMib.coerceAtLeast(1),
        accelerators.toDouble() / whole.accelerators.coerceAtLeast(1)
    )

    private companion object {
        const val LONG_SHARE_PERCENT = 75L
        const val HUNDRED = 100L
    }
}

/** Returns the order in which [jobs] get a place, given what is held; the smallest goes first. */
fun queueOrder(shares: HeldShares): Comparator<WaitingJob> =
    compareByDescending<WaitingJob> { it.isUrgent }
        .thenBy { shares.shareOf(it.team) }
        .thenByDescending { it.responseRatio }
