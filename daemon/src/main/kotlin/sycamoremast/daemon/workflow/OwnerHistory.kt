/** What a host has seen of the owners of a worker set, and when, on its own clock. */
package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentSkipListMap
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.workflow.RecordVersion
import sycamoremast.coordination.workflow.StoreSightings
import sycamoremast.daemon.log.EventLog

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

    /** The last claim, which is known also after the owner's key has been deleted. */
    @Volatile
    var lastClaim: OwnerRecord? = null
        private set

    @Volatile
    private var hasSeenHeartbeat = false

    /** Whether there was an owner, and this host has not seen it write a heartbeat. */
    val isUninformed: Boolean get() = lastClaim != null && !hasSeenHeartbeat

    /** Records that the owner of [epoch] was seen. */
    fun recordClaim(epoch: Long) = claims.recordFirst(epoch)

    /** Records what was listed at [key], a detail of the owner. */
    fun record(key: String, text: String) {
        when (key) {
            rosterKey -> readOrNull<RecordVersion>(key, text)?.let { rosters.recordFirst(it) }
            heartbeatKey -> readOrNull<RecordVersion>(key, text)?.let { heartbeats.recordFirst(it) }
            lastClaimKey -> readOrNull<OwnerRecord>(key, text)?.let { lastClaim = it }
        }
    }

    /** Records what has just been written at [key], a detail of the owner. */
    fun recordChange(key: String, text: String) {
        record(key, text)
        if (key == heartbeatKey) hasSeenHeartbeat = true
    }

    /**
     * Returns what was seen before a claim that was made after [claimedMillis], and the [ends] of
     * earlier owners.
     */
    fun sightings(claimedMillis: Long, ends: Map<Long, Long>) =
        StoreSightings(claimedMillis, claims.toMap(), rosters.toMap(), heartbeats.toMap(), ends)

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
        /** Far more than there are owners, rosters or heartbeats within the longest lease. */
        const val MAX_SIGHTINGS = 64
    }
}
