/**
 * Decides when to send a peer a heartbeat that requests a reply.
 *
 * Both ends of a connection measure the interval from the last heartbeat that they received, and a
 * request with its reply counts for both, so that one exchange replaces two. A silent peer is sent
 * a request at each step, several times before it becomes suspect. Connections with a zone's relay
 * use a shorter interval, because another host takes over soon after the relay falls silent.
 */
package sycamoremast.daemon.control

import java.util.concurrent.ConcurrentHashMap

/** Paces heartbeats for a loop that steps every [stepMillis]; safe to use from any thread. */
internal class HeartbeatPacing(private val stepMillis: Long) {
    private val lastHeartbeats = ConcurrentHashMap<String, LastHeartbeat>()

    /** Records a heartbeat of [host]; [isRelay] is whether it is the relay of this host's zone. */
    fun recordHeartbeat(host: String, isRelay: Boolean, nowMillis: Long) {
        lastHeartbeats[host] = LastHeartbeat(nowMillis, isRelay)
    }

    /** Returns whether [host] is due a heartbeat; [isFromRelay] tells if this host is a relay. */
    fun isDue(host: String, isFromRelay: Boolean, nowMillis: Long): Boolean {
        val last = lastHeartbeats[host] ?: return true
        val halfSteps = if (isFromRelay || last.isRelay) RELAY_HALF_STEPS else OTHER_HALF_STEPS
        return nowMillis - last.atMillis >= halfSteps * stepMillis / 2
    }

    /** Removes the state of all hosts that are not [connected]. */
    fun retain(connected: Collection<String>) {
        lastHeartbeats.keys.retainAll(connected.toSet())
    }

    private data class LastHeartbeat(val atMillis: Long, val isRelay: Boolean)

    private companion object {
        /** One and a half steps: two steps less half a step, because steps are jittered. */
        const val RELAY_HALF_STEPS = 3

        /** Three and a half steps: four steps less half a step, because steps are jittered. */
        const val OTHER_HALF_STEPS = 7
    }
}
