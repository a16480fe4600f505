/** What a host has seen of the owners of a worker set, and when, on its own clock. */
package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentSkipListMap
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.HeartbeatSighting
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.RecordVersion
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.StandbyReport
import sycamoremast.coordination.workflow.StoreSightings
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.OwnerHeartbeat

/** The owners of worker set [set]. Records are added by one thread and read by others. */
internal class OwnerHistory(
    set: Int,
    private val clock: MonotonicClock,
    private val log: EventLog
) {
    private val rosterKey = WorkflowKeys.owner(set, OwnerDetail.ROSTER)
    private val heartbeatKey = WorkflowKeys.owner(set, OwnerDetail.HEARTBEAT)
    private val lastClaimKey = WorkflowKeys.owner(set, OwnerDetail.LAST_CLAIM)
    private val claims = ConcurrentSkipListMap<Long, Long>()
    private val rosters = versions()
    private val heartbeats = versions()

    /** When this host last acknowledged a heartbeat that the owner of an epoch announced. */
    private val acknowledged = ConcurrentSkipListMap<Long, Long>()

    /** The workers that heartbeats acknowledged have named, by the last one's number, by epoch. */
    private val liftedLimits = ConcurrentSkipListMap<Long, Map<String, Long>>()

    private val startedMillis = clock.nowMillis()

    /** The last epoch known, 0 before the first listing. */
    @get:Synchronized
    var lastEpoch = 0L
        private set

    /** The last claim, which is known also after the owner's key has been deleted. */
    @Volatile
    var lastClaim: OwnerRecord? = null
        private set

    @Volatile
    private var hasSeenHeartbeat = false

    /** Whether there was an owner, and this host has not seen it write a heartbeat. */
    val isUninformed: Boolean get() = lastClaim != null && !hasSeenHeartbeat

    /** Records that the owner of [epoch] was seen. */
    @Synchronized
    fun recordClaim(epoch: Long) {
        claims.recordFirst(epoch)
        lastEpoch = maxOf(lastEpoch, epoch)
    }

    /** Records what was listed at [key], a detail of the owner. */
    fun record(key: String, text: String) {
        when (key) {
            rosterKey -> readOrNull<RecordVersion>(key, text)?.let { rosters.recordFirst(it) }
            heartbeatKey -> readOrNull<RecordVersion>(key, text)?.let { heartbeats.recordFirst(it) }
            lastClaimKey -> readOrNull<OwnerRecord>(key, text)?.let(::recordLastClaim)
        }
    }

    @Synchronized
    private fun recordLastClaim(claim: OwnerRecord) {
        lastClaim = claim
        lastEpoch = maxOf(lastEpoch, claim.epoch)
    }

    /**
     * Acknowledges a [heartbeat] that an owner announces, unless a later owner is known or its last
     * durable heartbeat is too old; returns whether it is acknowledged.
     *
     * If this host takes over, it counts from its last acknowledgement. A process that has not
     * listed the owner's records doesn't acknowledge: its predecessor may have taken over already.
     */
    @Synchronized
    fun acknowledge(heartbeat: OwnerHeartbeat): Boolean {
        val epoch = heartbeat.epoch
        val now = clock.nowMillis()
        val durable = lastHeartbeatOrNull(epoch)
        if (epoch != lastEpoch || durable == null) return false
        if (durable.millisAgo > SchedulerSettings.LONGEST_ANNOUNCED_MILLIS) return false
        acknowledged[epoch] = now
        if (acknowledged.size > MAX_SIGHTINGS) acknowledged.pollFirstEntry()
        recordLimits(heartbeat)
        return true
    }

    private fun recordLimits(heartbeat: OwnerHeartbeat) {
        if (heartbeat.liftedLimits.isEmpty()) return
        val known = liftedLimits[heartbeat.epoch].orEmpty()
        liftedLimits[heartbeat.epoch] = known + heartbeat.liftedLimits.associateWith {
            maxOf(heartbeat.number, known[it] ?: 0)
        }
        if (liftedLimits.size > MAX_SIGHTINGS) liftedLimits.pollFirstEntry()
    }

    /** Records what has just been written at [key], a detail of the owner. */
    fun recordChange(key: String, text: String) {
        record(key, text)
        if (key == heartbeatKey) hasSeenHeartbeat = true
    }

    /** Whether this host has just acknowledged a heartbeat, so that the owner may still be there. */
    val hasJustAcknowledged: Boolean
        get() = acknowledged.lastEntry()
            ?.let { clock.nowMillis() - it.value < JUST_ACKNOWLEDGED_MILLIS } == true

    /**
     * Returns how long ago this host last acknowledged a heartbeat of the owner of [lastEpoch], or
     * may have done so in an earlier process, for the owner of [epoch], which limits those have
     * lifted, and when it saw the last durable one. From now on, no heartbeat of an earlier owner is
     * acknowledged.
     */
    @Synchronized
    fun report(epoch: Long, lastEpoch: Long): StandbyReport {
        endAcknowledgements(epoch)
        return StandbyReport(
            clock.nowMillis() - (acknowledged[lastEpoch] ?: startedMillis),
            liftedLimits[lastEpoch].orEmpty(),
            lastHeartbeat = lastHeartbeatOrNull(lastEpoch)
        )
    }

    private fun lastHeartbeatOrNull(epoch: Long): HeartbeatSighting? =
        heartbeats.floorEntry(RecordVersion(epoch, Long.MAX_VALUE))
            ?.takeIf { it.key.epoch == epoch }
            ?.let { HeartbeatSighting(it.key, clock.nowMillis() - it.value) }

    /** From now on, acknowledges no heartbeat of owners before that of [epoch]. */
    @Synchronized
    fun endAcknowledgements(epoch: Long) {
        lastEpoch = maxOf(lastEpoch, epoch)
    }

    /**
     * Returns what [process], this one, has seen before its claim of [epoch], which was made after
     * [claimedMillis], and the [ends] of earlier owners.
     *
     * From now on, no heartbeat of an earlier owner is acknowledged.
     */
    @Synchronized
    fun sightings(
        epoch: Long,
        claimedMillis: Long,
        ends: Map<Long, Long>,
        process: HostProcess
    ): StoreSightings {
        endAcknowledgements(epoch)
        return StoreSightings(
            claimedMillis,
            claims.toMap(),
            rosters.toMap(),
            heartbeats.toMap(),
            ends,
            process,
            acknowledged.toMap(),
            liftedLimits = liftedLimits.toMap()
        )
    }

    private inline fun <reified T : Any> readOrNull(key: String, text: String): T? =
        decodeRecordOrNull<T>(text).also {
            if (it == null) log.add("owner-record-unreadable", "key" to key)
        }

    private fun <K : Any> ConcurrentSkipListMap<K, Long>.recordFirst(seen: K) {
        putIfAbsent(seen, clock.nowMillis())
        if (size > MAX_SIGHTINGS) pollFirstEntry()
    }

    private fun versions() =
        ConcurrentSkipListMap<RecordVersion, Long>(compareBy({ it.epoch }, { it.batch }))

    private companion object {
        /** Longer than hosts take to notice that the store is back. */
        const val JUST_ACKNOWLEDGED_MILLIS = 3_000L

        /** Far more than there are owners, rosters or heartbeats within the longest lease. */
        const val MAX_SIGHTINGS = 64
    }
}
