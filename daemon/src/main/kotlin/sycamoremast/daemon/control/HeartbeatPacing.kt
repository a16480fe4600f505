/**
 * When a peer is due a heartbeat that asks for one in return.
 *
 * Both ends of a connection wait from the last heartbeat that they heard, and an answered one
 * counts for both, so that one exchange replaces two. A peer that stays silent is asked again at
 * each step, several times before silence makes it suspect. Links to a zone's relay are paced more
 * tightly, as another host takes its place soon after it falls silent.
 */
package sycamoremast.daemon.control

import java.util.concurrent.ConcurrentHashMap

/** Paces heartbeats in steps of [stepMillis]; safe to use from any thread. */
internal class HeartbeatPacing(private val stepMillis: Long) {
    private val heard = ConcurrentHashMap<String, Heard>()

    /** Takes note of a heartbeat of [host], which [isRelay] of this host's zone or not. */
    fun heard(host: String, isRelay: Boolean, nowMillis: Long) {
        heard[host] = Heard(nowMillis, isRelay)
    }

    /** Returns whether [host] is due a heartbeat; [isFromRelay] is whether this host is a relay. */
    fun isDue(host: String, isFromRelay: Boolean, nowMillis: Long): Boolean {
        val last = heard[host] ?: return true
        val halfSteps = if (isFromRelay || last.isRelay) RELAY_HALF_STEPS else OTHER_HALF_STEPS
        return nowMillis - last.atMillis >= halfSteps * stepMillis / 2
    }

    /** Forgets all hosts but [connected]. */
    fun retain(connected: Collection<String>) {
        heard.keys.retainAll(connected.toSet())
    }

    private data class Heard(val atMillis: Long, val isRelay: Boolean)

    private companion object {
        /** Half a step less than two steps, as steps are jittered. */
        const val RELAY_HALF_STEPS = 3

        /** Half a step less than four steps. */
        const val OTHER_HALF_STEPS = 7
    }
}
