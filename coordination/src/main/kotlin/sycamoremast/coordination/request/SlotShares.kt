/**
 * Divides the slots or connections of a backend server among the entry hosts.
 *
 * Each host computes its own share from its view of the membership, without communication. While
 * all hosts have the same view, the shares add up to exactly the limit.
 */
package sycamoremast.coordination.request

import sycamoremast.coordination.membership.MemberState

/**
 * Returns the share of [self] in [limit] slots or connections of [instance], divided among [hosts].
 *
 * The hosts that get the remainder of the division differ by instance. The share is 0 if [self] is
 * not among the [hosts].
 */
fun shareOf(limit: Int, instance: String, hosts: Set<String>, self: String): Int {
    require(limit >= 0) { "limit must not be negative: $limit" }
    if (self !in hosts) return 0
    val rank = hosts.count { it < self }
    val offset = Math.floorMod(instance.hashCode(), hosts.size)
    val position = Math.floorMod(rank - offset, hosts.size)
    val extra = if (position < limit % hosts.size) 1 else 0
    return limit / hosts.size + extra
}

/**
 * The times that prevent overlapping shares while the hosts' views of the membership differ.
 *
 * A host that has just started, or was paused for longer than [pauseMillis], counts itself only
 * after [joinMillis]. A host that is gone is still counted for [goneMillis], within which it stops
 * using its share. An increased share takes effect only after [settleMillis], within which the
 * shares of the other hosts have decreased; this must exceed the time by which views can lag.
 */
data class ShareTimes(
    val joinMillis: Long = 1_000,
    val goneMillis: Long = 3_000,
    val settleMillis: Long = 2_000,
    val pauseMillis: Long = 2_000
)

/** Tracks the hosts that slots are divided among; not safe for use by several threads at once. */
class CountedHosts(private val self: String, private val times: ShareTimes = ShareTimes()) {
    private val lastPresentMillis = hashMapOf<String, Long>()
    private var joinStartMillis: Long? = null
    private var observedMillis: Long? = null

    /** Updates the states of the other [members], and returns the hosts that get a share. */
    fun observe(members: Map<String, MemberState>, nowMillis: Long): Set<String> {
        val last = observedMillis
        if (last == null || nowMillis - last > times.pauseMillis) joinStartMillis = nowMillis
        observedMillis = nowMillis
        members.filterValues { it != MemberState.GONE }.keys
            .forEach { lastPresentMillis[it] = nowMillis }
        lastPresentMillis.values.removeIf { it < nowMillis - times.goneMillis }
        return lastPresentMillis.keys - self + listOfNotNull(self.takeIf { hasJoined(nowMillis) })
    }

    private fun hasJoined(nowMillis: Long) =
        joinStartMillis?.let { nowMillis >= it + times.joinMillis } ?: false
}
