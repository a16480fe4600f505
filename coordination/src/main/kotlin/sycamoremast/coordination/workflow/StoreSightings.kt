/**
 * When a host saw the claims and rosters of owners in the store.
 *
 * By that a host tells how old they are at least, on its own clock alone.
 */
package sycamoremast.coordination.workflow

/**
 * The times at which this host first saw the claims of epochs, [claims], and the [rosters], and the
 * time before which its own claim was made, [claimedMillis].
 */
data class StoreSightings(
    val claimedMillis: Long,
    val claims: Map<Long, Long> = emptyMap(),
    val rosters: Map<RosterVersion, Long> = emptyMap()
) {
    /** Returns a time not before the claim of [epoch], which may be this host's own. */
    fun claimedByMillis(epoch: Long): Long =
        claims.filterKeys { it >= epoch }.values.fold(claimedMillis, ::minOf)

    /** Returns a time not before the roster [version] was written, or null if it was not seen. */
    fun rosterMillisOrNull(version: RosterVersion): Long? = rosters[version]
}
