/**
 * When a host saw the claims, rosters and heartbeats of owners in the store.
 *
 * By that a host tells how old they are at least, on its own clock alone.
 */
package sycamoremast.coordination.workflow

/**
 * The times at which this host first saw the claims of epochs, [claims], the [rosters] and the
 * [heartbeats], and a time before its own claim and after all records of earlier owners,
 * [claimedMillis]. By the times in [ends], the owners of these epochs had certainly ended, as they
 * were on the host of this [process]. In [acknowledged] are the times at which it last acknowledged a
 * heartbeat that the owner of an epoch announced to it, and in [liftedLimits] the workers whose
 * limits these lifted, by the number of the last one that named them. If the owner of an epoch was
 * this process, its leases have lapsed by [leaseEnds]. By the times in [fenced], so many workers
 * rejected the owner of an epoch that no heartbeat counts which it announced later. A host that knows
 * how long the owner of an epoch in [informed] went on has told this one.
 */
data class StoreSightings(
    val claimedMillis: Long,
    val claims: Map<Long, Long> = emptyMap(),
    val rosters: Map<RecordVersion, Long> = emptyMap(),
    val heartbeats: Map<RecordVersion, Long> = emptyMap(),
    val ends: Map<Long, Long> = emptyMap(),
    val process: HostProcess = HostProcess(""),
    val acknowledged: Map<Long, Long> = emptyMap(),
    val leaseEnds: Map<Long, Map<WorkerRef, Long>> = emptyMap(),
    val liftedLimits: Map<Long, Map<String, Long>> = emptyMap(),
    val fenced: Map<Long, Long> = emptyMap(),
    val informed: Set<Long> = emptySet()
) {
    /** Returns a time not before the claim of [epoch], which may be this host's own. */
    fun claimedByMillis(epoch: Long): Long =
        claims.filterKeys { it >= epoch }.values.fold(claimedMillis, ::minOf)

    /** Returns a time not before the roster [version] was written, or null if it was not seen. */
    fun rosterMillisOrNull(version: RecordVersion): Long? = rosters[version]

    /**
     * Returns a time not before the last heartbeat was formed that the owner of [epoch] announced to
     * this host and that this host acknowledged, or null if there is none.
     */
    fun acknowledgedMillisOrNull(epoch: Long): Long? = acknowledged[epoch]

    /** Returns a time not before the heartbeat [version] was written. */
    fun heartbeatMillis(version: RecordVersion): Long = heartbeats[version] ?: claimedMillis
}
