/** When a host saw the claims of owners, and how far the store had got at which time. */
package sycamoremast.coordination.workflow

/**
 * The times at which this host first saw the claims of earlier epochs in the store, [seen], and the
 * time before which its own claim was made, [claimedMillis], all on this host's clock.
 *
 * [reached] has the times by which the store had reached certain revisions, that of this host's
 * claim among them. It tells how old a record is, as no clock of another host does: that host may
 * have been suspended.
 */
data class ClaimTimes(
    val claimedMillis: Long,
    val seen: Map<Long, Long> = emptyMap(),
    val reached: Map<Long, Long> = emptyMap()
) {
    /** Returns a time not before the claim of [epoch], which may be this host's own. */
    fun seenByMillis(epoch: Long): Long = minOf(seen[epoch] ?: claimedMillis, claimedMillis)

    /** Returns a time by which the store had certainly reached [revision], or null if unknown. */
    fun reachedByMillisOrNull(revision: Long): Long? =
        reached.filterKeys { it >= revision }.values.minOrNull()
}
