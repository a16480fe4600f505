/** What an owner inherits from earlier ones, and shares with the hosts that may succeed it. */
package sycamoremast.coordination.workflow

/** The part of a [WorkflowScheduler] that takes messages of other hosts. */
class Succession
internal constructor(
    private val fleet: Fleet,
    private val standbys: Standbys,
    private val inheritedLeases: InheritedLeases,
    private val directory: WorkerDirectory
) {
    /**
     * When the last heartbeat was formed that all standbys have acknowledged, or null.
     *
     * It allows the owner to act for as long as a renewal of its lease in the store does.
     */
    val confirmedMillis: Long? get() = standbys.confirmedMillis

    /** Returns the times by which the leases that this owner knows of have certainly lapsed. */
    fun leaseEnds(): Map<WorkerRef, Long> =
        fleet.workers.values.associate { it.ref to it.lease.lapsedByMillis }

    /**
     * Adds what the last owner recorded in [roster]; to be called before recovered workflows are
     * added.
     *
     * [sightings] and [lastHeartbeat] tell how long leases that it granted may last.
     */
    fun addRoster(
        roster: RosterRecord,
        sightings: StoreSightings,
        lastHeartbeat: RecordVersion?,
        nowMillis: Long
    ) {
        if (roster.recordsPlaces) fleet.arePlacesRecorded = true
        inheritedLeases.add(roster, sightings, lastHeartbeat, directory)
        standbys.onInherited(roster.standbys, nowMillis)
    }

    /** Updates the registered [hosts], of which [own] is the one of this owner. */
    fun onHostsRegistered(own: String, hosts: Set<String>, nowMillis: Long) =
        standbys.onRegistered(own, hosts, nowMillis)

    /** Records that [host] has acknowledged the heartbeat [number] that was announced to it. */
    fun onHeartbeatAcknowledged(host: String, number: Long, nowMillis: Long) =
        standbys.onAcknowledged(host, number, nowMillis)

    /**
     * Records that [host] last acknowledged a heartbeat of the owner of [lastEpoch] [millisAgo].
     */
    fun onStandbyAnswered(host: String, lastEpoch: Long, millisAgo: Long, nowMillis: Long) =
        inheritedLeases.onAnswered(host, lastEpoch, millisAgo, nowMillis)
}
