/** The durable record of the workers of an owner, and of how long their leases may last. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/**
 * The workers to which the owner of [epoch] may have assigned work.
 *
 * [leasesLeft] gives the time in milliseconds, by worker, for which its leases may last after the
 * record was formed: an owner that hands over as planned names all workers, others name those that
 * don't answer, with the limit that was passed on to them in [inheritedLeases].
 * [drainingLeasesLeft] gives the time for which leases of draining workers, which the
 * owner goes on to extend, may last after the next owner's claim.
 */
@Serializable
data class RosterRecord(
    val workers: List<WorkerRef>,
    val epoch: Long = 0,
    val leasesLeft: Map<String, Long>? = null,
    val drainingLeasesLeft: Map<String, Long>? = null,
    val inheritedLeases: Map<String, InheritedLease>? = null
) {
    /**
     * Returns the time by which the last lease of [worker] has certainly lapsed, on the clock of
     * [claims], where the store holds this record since [revision].
     *
     * Owners that came later and recorded no roster have granted no lease.
     */
    fun lapsedByMillis(
        worker: WorkerRef,
        revision: Long,
        claims: ClaimTimes,
        settings: SchedulerSettings
    ): Long {
        val succeededMillis = claims.seenByMillis(epoch + 1)
        leasesLeft?.get(worker.id)?.let { left ->
            val lapsedBy = (claims.reachedByMillisOrNull(revision) ?: succeededMillis) + left
            val inherited = inheritedLeases?.get(worker.id)
            val reachedMillis = inherited?.let { claims.reachedByMillisOrNull(it.revision) }
            return if (reachedMillis == null) {
                lapsedBy
            } else {
                minOf(lapsedBy, reachedMillis + inherited.millis)
            }
        }
        drainingLeasesLeft?.get(worker.id)?.let { return succeededMillis + it }
        return settings.lapsedBy(succeededMillis + SchedulerSettings.PAST_LEASE_MILLIS)
    }

    /**
     * Returns what the next owner, whose claim is at [claimRevision], passes on if [worker] does not
     * answer it, where the store holds this record since [revision].
     */
    fun inheritedLease(
        worker: WorkerRef,
        revision: Long,
        claimRevision: Long,
        settings: SchedulerSettings
    ): InheritedLease = inheritedLeases?.get(worker.id)
        ?: leasesLeft?.get(worker.id)?.let { InheritedLease(revision, it) }
        ?: InheritedLease(
            claimRevision,
            drainingLeasesLeft?.get(worker.id)
                ?: settings.lapsedBy(SchedulerSettings.PAST_LEASE_MILLIS)
        )
}
