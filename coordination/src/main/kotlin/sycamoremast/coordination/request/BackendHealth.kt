/**
 * Whether a backend server gets new work.
 *
 * A server that is leaving gets none, by whichever sign says so first. A server that can't be
 * reached is left out for a while, unless none can be. A server that fails most requests is left out
 * for a while, too, but at most a part of the pool, so that a wrong signal can't empty it.
 */
package sycamoremast.coordination.request

import sycamoremast.coordination.HostState

/** The signs that one backend server has given; not safe for use by several threads at once. */
class BackendHealth {
    private var leavingByList = false
    private var drainingUntilMillis = Long.MIN_VALUE
    private var outUntilMillis = Long.MIN_VALUE
    private var outSinceMillis = Long.MIN_VALUE
    private var isUnreachable = false
    private var timesOut = 0
    private var failureShare = 0.0
    private var outcomes = 0

    /** Takes the state on the host list, or null if the server is not listed any more. */
    fun listed(state: HostState?) {
        leavingByList = state != HostState.LIVE
    }

    /** The server said that it drains. */
    fun draining(nowMillis: Long) {
        drainingUntilMillis = nowMillis + DRAINING_MILLIS
    }

    /** A connection to the server failed. */
    fun connectFailed(nowMillis: Long) {
        count(failed = true)
        leaveOut(nowMillis)
        isUnreachable = true
    }

    /** An attempt on the server failed after it had been sent. */
    fun failed(nowMillis: Long) {
        count(failed = true)
        if (outcomes >= MIN_OUTCOMES && failureShare > MAX_FAILURE_SHARE) leaveOut(nowMillis)
    }

    /** The server answered whole, or refused in good order. */
    fun answered() {
        count(failed = false)
        if (failureShare < RECOVERED_FAILURE_SHARE) timesOut = 0
    }

    /** Returns whether the server is leaving. */
    fun isLeaving(nowMillis: Long) = leavingByList || nowMillis < drainingUntilMillis

    /** Returns whether the server is left out because it could not be reached. */
    fun isUnreachable(nowMillis: Long) = isUnreachable && leftOutSince(nowMillis) != null

    /** Returns since when the server is left out for its failures, or null if it is not. */
    fun leftOutSince(nowMillis: Long): Long? = outSinceMillis.takeIf { nowMillis < outUntilMillis }

    private fun count(failed: Boolean) {
        outcomes++
        val value = if (failed) 1.0 else 0.0
        failureShare += maxOf(GAIN, 1.0 / outcomes) * (value - failureShare)
    }

    private fun leaveOut(nowMillis: Long) {
        if (nowMillis < outUntilMillis) return
        val span = FIRST_OUT_MILLIS shl timesOut.coerceAtMost(MAX_DOUBLINGS)
        timesOut++
        isUnreachable = false
        outSinceMillis = nowMillis
        outUntilMillis = nowMillis + span
        outcomes = 0
        failureShare = 0.0
    }

    companion object {
        /** How long a server's own word that it drains stands against a list that says otherwise. */
        private const val DRAINING_MILLIS = 60_000L
        private const val FIRST_OUT_MILLIS = 1_000L
        private const val MAX_DOUBLINGS = 5
        private const val MIN_OUTCOMES = 5
        private const val GAIN = 0.1
        private const val MAX_FAILURE_SHARE = 0.5
        private const val RECOVERED_FAILURE_SHARE = 0.1

        /** The part of the reachable servers that may be left out for failures. */
        private const val MAX_LEFT_OUT_SHARE = 0.5

        /**
         * Returns those of [pool] that get new work.
         *
         * The servers that have been left out for longest come back first where too many are.
         */
        fun <T> usable(pool: List<T>, nowMillis: Long, healthOf: (T) -> BackendHealth): List<T> {
            val staying = pool.filterNot { healthOf(it).isLeaving(nowMillis) }
            val reachable = staying.filterNot { healthOf(it).isUnreachable(nowMillis) }
            if (reachable.isEmpty()) return staying
            val cap = (reachable.size * MAX_LEFT_OUT_SHARE).toInt()
            val leftOut = reachable
                .filter { healthOf(it).leftOutSince(nowMillis) != null }
                .sortedByDescending { healthOf(it).leftOutSince(nowMillis) }
                .take(cap)
                .toSet()
            return reachable.filterNot { it in leftOut }
        }
    }
}
