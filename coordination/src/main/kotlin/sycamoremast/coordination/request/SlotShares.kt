/**
 * The division of a backend server's slots or connections among the entry hosts.
 *
 * Every host computes its own share from the hosts that it counts, without asking anyone. As long
 * as all hosts count the same ones, the shares add up to the limit exactly.
 */
package sycamoremast.coordination.request

import sycamoremast.coordination.membership.MemberState

/**
 * Returns the share of [self] in [limit] uses of [instance], divided among [hosts].
 *
 * What can't be divided evenly goes to other hosts for each instance. The share is 0 if [self] is
 * not among the [hosts].
 */
fun shareOf(limit: Int, instance: String, hosts: Set<String>, self: String): Int {
    require(limit >= 0) { "limit must not be negative: $limit" }
    if (self !in hosts) return 0
    val place = hosts.count { it < self }
    val offset = Math.floorMod(instance.hashCode(), hosts.size)
    val turn = Math.floorMod(place - offset, hosts.size)
    val extra = if (turn < limit % hosts.size) 1 else 0
    return limit / hosts.size + extra
}

/**
 * The times that keep shares from overlapping while the views of the hosts differ.
 *
 * A host that has just started, or was paused, counts itself only after [joinMillis]. A host that is
 * gone is still counted for [goneMillis], by which time it has noticed. A share that rises is used
 * only after [settleMillis], by which time the shares of the other hosts have fallen; this has to
 * exceed the time by which views can differ.
 */
data class ShareTimes(
    val joinMillis: Long = 1_000,
    val goneMillis: Long = 3_000,
    val settleMillis: Long = 2_000,
    val pauseMillis: Long = 2_000
)

/** Which hosts count for the shares; not safe for use by several threads at once. */
class CountedHosts(private val self: String, private val times: ShareTimes = ShareTimes()) {
    private val lastPresentMillis = hashMapOf<String, Long>()
    private var joinedMillis: Long? = null
    private var observedMillis: Long? = null

    /** Returns the hosts to count, given the [members] that are known now, this one left out. */
    fun observe(members: Map<String, MemberState>, nowMillis: Long): Set<String> {
        val last = observedMillis
        if (last == null || nowMillis - last > times.pauseMillis) joinedMillis = nowMillis
        observedMillis = nowMillis
        members.filterValues { it != MemberState.GONE }.keys
            .forEach { lastPresentMillis[it] = nowMillis }
        lastPresentMillis.values.removeIf { it < nowMillis - times.goneMillis }
        return lastPresentMillis.keys - self + listOfNotNull(self.takeIf { hasJoined(nowMillis) })
    }

    private fun hasJoined(nowMillis: Long) =
        joinedMillis?.let { nowMillis >= it + times.joinMillis } ?: false
}
