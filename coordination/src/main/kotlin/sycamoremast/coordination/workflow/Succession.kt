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

    /** When the last durable heartbeat was formed, or null. */
    val durableMillis: Long? get() = standbys.lastDurableMillis

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
        inheritedLeases.add(roster, sightings, lastHeartbeat, directory, nowMillis)
        standbys.onInherited(roster.standbys, nowMillis)
    }

    /** Updates the processes of the [registered] hosts, of which [own] is this one. */
    fun onHostsRegistered(own: HostProcess, registered: Set<HostProcess>, nowMillis: Long) =
        standbys.onRegistered(own, registered, nowMillis)

    /**
     * Records that [process], which has read in the store that this owner is the last one, has
     * acknowledged the heartbeat [number], and whether it [recordsLimits] that this one lifts.
     */
    fun onHeartbeatAcknowledged(
        process: HostProcess,
        number: Long,
        recordsLimits: Boolean,
        nowMillis: Long
    ) = standbys.onAcknowledged(process, number, recordsLimits, nowMillis)

    /**
     * Records that [process] ends as planned: it makes no claim and answers no successor any more,
     * and knows of no owner after that of [lastEpoch].
     */
    fun onStandbyEnded(process: HostProcess, lastEpoch: Long) = standbys.onEnded(process, lastEpoch)

    /** Records what [process] knows of the owner of [lastEpoch]. */
    fun onStandbyAnswered(
        process: HostProcess,
        lastEpoch: Long,
        report: StandbyReport,
        nowMillis: Long
    ) = inheritedLeases.onAnswered(process, lastEpoch, report, nowMillis)
}
