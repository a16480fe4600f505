/** What a roster passes on of an earlier owner of which its writer didn't know how long it went on. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/**
 * The earlier owner by its [roster], and the IDs of the workers that had not answered the later owner,
 * [unreached].
 *
 * The later owner has granted those no lease. How long it says that their leases may last is no more
 * than what it could tell of the earlier owner: the next one may know more, or ask the standbys that
 * [roster] names.
 */
@Serializable
data class UnknownOwner(val roster: RosterRecord, val unreached: Set<String>) {
    /**
     * Returns the time by which the earlier owner's leases of [worker] have lapsed, or null if the
     * later one may have granted it others.
     */
    internal fun lapsedByMillisOrNull(
        worker: WorkerRef,
        sightings: StoreSightings,
        settings: SchedulerSettings,
        lastHeartbeat: RecordVersion?
    ): Long? = if (worker.id in unreached) {
        roster.lapsedByMillis(worker, sightings, settings, lastHeartbeat)
    } else {
        null
    }

    /**
     * Returns this with no more than [depth] owners, the latest ones, and no more than [workers] in their
     * rosters, or null if the latest has more.
     */
    internal fun limitedTo(depth: Int = MAX_DEPTH, workers: Int = MAX_WORKERS): UnknownOwner? {
        val left = workers - roster.workers.size
        if (depth == 0 || left < 0) return null
        val earlier = roster.unknown?.limitedTo(depth - 1, left)
        return copy(roster = roster.copy(unknown = earlier))
    }

    private companion object {
        /** A longer series of owners that know nothing is rare. */
        const val MAX_DEPTH = 2

        /** Some 100 bytes each, of the 1 MB that a value in the platform's store may have. */
        const val MAX_WORKERS = 2_000
    }
}
