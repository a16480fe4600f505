/** The durable record of the workers of an owner, and of how long their leases may last. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/**
 * The workers to which the owner of [epoch] may have assigned work, as batch [batch] recorded them.
 *
 * [leasesLeft] gives the time in milliseconds, by worker, for which its leases may last from the
 * record on: an owner that hands over as planned names all workers, others name those that don't
 * answer. [drainingLeasesLeft] gives the time for which leases of draining workers, which the owner
 * goes on to extend, may last after the next owner's claim.
 *
 * If [recordsPlaces], the owners so far have recorded the places of all long-running tasks before
 * their starts, or found all runs of such tasks.
 *
 * While no heartbeat of the owner is durable, one counts that all [standbys] have acknowledged. If
 * there are none, only durable ones count. Those after [lastAnnounced] may lift limits in
 * [leasesLeft] of leases that had not lapsed, but not those of a planned handover. The owner is on
 * [host], which is missing in rosters of earlier versions. If it [needsWorkers], such a heartbeat
 * counts only if a [quorum] of [workers] have accepted an order that was sent after it, which is a
 * majority in rosters of earlier versions.
 *
 * If the owner didn't know how long an earlier one went on, [unknown] tells of that one.
 *
 * [strayLeasesLeft] gives the time from the record on, by worker, for which a lease may last that a
 * stray order has granted and that no heartbeat bounds. The [incarnations] of workers, by the Unix
 * milliseconds of their starts, reject the orders that earlier ones were meant to get; those of
 * other ones may hold the longest lease that workers accept.
 */
@Serializable
data class RosterRecord(
    val workers: List<WorkerRef>,
    val epoch: Long = 0,
    val leasesLeft: Map<String, Long>? = null,
    val drainingLeasesLeft: Map<String, Long>? = null,
    val batch: Long = 0,
    val recordsPlaces: Boolean = false,
    val standbys: Set<HostProcess> = emptySet(),
    val lastAnnounced: Long = 0,
    val host: String? = null,
    val needsWorkers: Boolean = false,
    val quorum: Int? = null,
    val unknown: UnknownOwner? = null,
    val strayLeasesLeft: Map<String, Long>? = null,
    val incarnations: Map<String, Long>? = null
) {
    val version: RecordVersion get() = RecordVersion(epoch, batch)

    /**
     * Returns the time by which the last lease of [worker] has certainly lapsed, on the clock of
     * [sightings].
     *
     * Owners that came later and recorded no roster have granted no lease, nor written a heartbeat
     * after [lastHeartbeat], the last one in the store.
     */
    fun lapsedByMillis(
        worker: WorkerRef,
        sightings: StoreSightings,
        settings: SchedulerSettings,
        lastHeartbeat: RecordVersion?
    ): Long {
        sightings.leaseEnds[epoch]?.get(worker)?.let { return it }
        val lapsedBy = meantLapsedByMillis(worker, sightings, settings, lastHeartbeat)
        return maxOf(lapsedBy, strayLapsedByMillisOrNull(worker, sightings) ?: lapsedBy)
    }

    /** Returns the time by which leases of [worker] by stray orders have lapsed, or null if none. */
    fun strayLapsedByMillisOrNull(worker: WorkerRef, sightings: StoreSightings): Long? =
        strayLeasesLeft?.get(worker.id)?.let { formedByMillis(sightings) + it }

    /** Returns a time not before this record was formed. */
    private fun formedByMillis(sightings: StoreSightings): Long {
        val succeededMillis = sightings.claimedByMillis(epoch + 1)
        return minOf(sightings.rosterMillisOrNull(version) ?: succeededMillis, succeededMillis)
    }

    /** Returns the time by which the leases of [worker] have lapsed that were meant for it. */
    private fun meantLapsedByMillis(
        worker: WorkerRef,
        sightings: StoreSightings,
        settings: SchedulerSettings,
        lastHeartbeat: RecordVersion?
    ): Long {
        val left = leasesLeft?.get(worker.id)
        val drainingLeft = drainingLeasesLeft?.get(worker.id)
        return when {
            left != null -> limitedByMillis(worker, left, sightings, settings, lastHeartbeat)

            // The worker has answered the owner of this roster, whose heartbeats limit its leases.
            drainingLeft != null -> minOf(
                sightings.claimedByMillis(epoch + 1) + drainingLeft,
                grantedByMillis(sightings, settings, lastHeartbeat, isShort = false)
            )

            else -> grantedByMillis(sightings, settings, lastHeartbeat, isShort = false)
        }
    }

    /** Returns the time by which leases of [worker] have lapsed, for which it had [left] at most. */
    private fun limitedByMillis(
        worker: WorkerRef,
        left: Long,
        sightings: StoreSightings,
        settings: SchedulerSettings,
        lastHeartbeat: RecordVersion?
    ): Long {
        val recorded = formedByMillis(sightings) + left
        val inherited = unknown?.lapsedByMillisOrNull(worker, sightings, settings, lastHeartbeat)
        val limit = minOf(recorded, inherited ?: recorded)
        if (left == 0L || !mayBeLifted(worker, sightings)) return limit
        return maxOf(limit, grantedByMillis(sightings, settings, lastHeartbeat, isShort = true))
    }

    /** Returns the time by which leases have lapsed that have no limit; [isShort] tells their kind. */
    private fun grantedByMillis(
        sightings: StoreSightings,
        settings: SchedulerSettings,
        lastHeartbeat: RecordVersion?,
        isShort: Boolean
    ): Long {
        val succeededMillis = sightings.claimedByMillis(epoch + 1)
        // An owner that recorded a roster and no heartbeat is of a version that writes none.
        val heartbeat = lastHeartbeat?.takeIf { it.epoch >= epoch }
        val recordedBy = listOfNotNull(
            settings.lapsedBy(succeededMillis + SchedulerSettings.PAST_LEASE_MILLIS),
            heartbeat?.let { settings.lapsedAfterHeartbeat(sightings.heartbeatMillis(it)) }
        ).min()
        return listOfNotNull(
            maxOf(recordedBy, announcedByMillis(recordedBy, sightings, settings)),
            sightings.ends[epoch]?.let { settings.lapsedBy(it, isDraining = isShort) }
        ).min()
    }

    /** Whether the owner may have gone on to extend leases of [worker], which [leasesLeft] limits. */
    private fun mayBeLifted(worker: WorkerRef, sightings: StoreSightings): Boolean =
        !isInformed(sightings) ||
            (sightings.liftedLimits[epoch]?.get(worker.id) ?: 0) > lastAnnounced

    /**
     * Whether no announced heartbeat counts any more once the workers [fenced] reject the owner, as
     * the others are no quorum.
     */
    internal fun isFencedBy(fenced: Set<WorkerRef>): Boolean =
        needsWorkers && workers.count { it !in fenced } < neededWorkers

    private val neededWorkers: Int
        get() = quorum ?: AcceptingWorkers.majority(workers.size)

    /**
     * Whether the owner counted a heartbeat that it announced only if the process of [sightings], or
     * one that has answered it, had acknowledged it.
     */
    internal fun isInformed(sightings: StoreSightings): Boolean = standbys.isEmpty() ||
        sightings.process in standbys ||
        epoch in sightings.informed

    /**
     * Returns the time by which leases have lapsed that rely on heartbeats announced to standbys,
     * where those that rely on durable ones have lapsed by [recordedByMillis].
     */
    private fun announcedByMillis(
        recordedByMillis: Long,
        sightings: StoreSightings,
        settings: SchedulerSettings
    ): Long {
        if (!isInformed(sightings)) {
            val longest = recordedByMillis + SchedulerSettings.longestAnnouncedMillis()
            val fencedMillis = sightings.fenced[epoch] ?: return longest
            return minOf(longest, settings.lapsedAfterHeartbeat(fencedMillis))
        }
        return sightings.acknowledgedMillisOrNull(epoch)
            ?.let { settings.lapsedAfterHeartbeat(it) } ?: recordedByMillis
    }
}
