/** The durable record of the workers of an owner, and of how long their leases may last. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/**
 * The workers to which the owner of [epoch] may have assigned work.
 *
 * The record was formed [formedAfterMillis] after the owner's claim, by the owner's clock.
 * [leasesLeft] gives the time in milliseconds, by worker, for which its leases may last from then
 * on: an owner that hands over as planned names all workers, others name those that don't answer.
 * [drainingLeasesLeft] gives the time for which leases of draining workers, which the owner goes on
 * to extend, may last after the next owner's claim.
 */
@Serializable
data class RosterRecord(
    val workers: List<WorkerRef>,
    val epoch: Long = 0,
    val leasesLeft: Map<String, Long>? = null,
    val drainingLeasesLeft: Map<String, Long>? = null,
    val formedAfterMillis: Long? = null
) {
    /**
     * Returns the time by which the last lease of [worker] has certainly lapsed, on the clock of
     * [claims].
     *
     * Owners that came later and recorded no roster have granted no lease.
     */
    fun lapsedByMillis(worker: WorkerRef, claims: ClaimTimes, settings: SchedulerSettings): Long {
        val succeededMillis = claims.seenByMillis(epoch + 1)
        leasesLeft?.get(worker.id)?.let { return minOf(formedMillis(claims), succeededMillis) + it }
        drainingLeasesLeft?.get(worker.id)?.let { return succeededMillis + it }
        return settings.lapsedBy(succeededMillis + SchedulerSettings.PAST_LEASE_MILLIS)
    }

    /** Returns when this record had certainly been formed. */
    private fun formedMillis(claims: ClaimTimes): Long {
        val after = formedAfterMillis ?: return Long.MAX_VALUE
        val claimed = claims.seenMillisOrNull(epoch) ?: return Long.MAX_VALUE
        return claimed + after + SchedulerSettings.maxClockError(after)
    }
}
