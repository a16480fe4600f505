/** When a host saw the claims of owners, by which it tells how old an owner's records are. */
package sycamoremast.coordination.workflow

/**
 * The times at which this host first saw the claims of earlier epochs in the store, [seen], and the
 * time before which its own claim was made, [claimedMillis], all on this host's clock.
 */
data class ClaimTimes(val claimedMillis: Long, val seen: Map<Long, Long> = emptyMap()) {
    /** Returns a time not before the claim of [epoch], or null if this host has not seen it. */
    fun seenMillisOrNull(epoch: Long): Long? = seen[epoch]

    /** Returns a time not before the claim of [epoch], which may be this host's own. */
    fun seenByMillis(epoch: Long): Long = minOf(seen[epoch] ?: claimedMillis, claimedMillis)
}
