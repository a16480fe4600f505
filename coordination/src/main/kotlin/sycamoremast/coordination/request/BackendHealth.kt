/**
 * Outlier detection: decides which backend servers get new requests.
 *
 * A server that is leaving gets none, whether the host list or the server itself says so first. A
 * server that can't be reached is ejected for a while, unless no server can be reached. A server
 * that fails most of its requests is ejected for a while, too, but only up to a share of the
 * reachable servers, so that a wrong signal can't empty the pool.
 */
package sycamoremast.coordination.request

import sycamoremast.coordination.HostState

/** The health of one backend server; not safe for use by several threads at once. */
class BackendHealth {
    private var isLeavingByHostList = false
    private var drainingUntilMillis = Long.MIN_VALUE
    private var ejectedUntilMillis = Long.MIN_VALUE
    private var ejectionStartMillis = Long.MIN_VALUE
    private var isUnreachable = false
    private var recentEjections = 0
    private var failureShare = 0.0
    private var outcomeCount = 0

    /** Updates the state on the host list; null means that the server is no longer listed. */
    fun updateListing(state: HostState?) {
        isLeavingByHostList = state != HostState.LIVE
    }

    /** Records that the server announced that it is draining. */
    fun markDraining(nowMillis: Long) {
        drainingUntilMillis = nowMillis + DRAIN_NOTICE_TTL_MILLIS
    }

    /** Records that a connection to the server failed, and ejects the server. */
    fun recordConnectFailure(nowMillis: Long) {
        recordOutcome(failed = true)
        eject(nowMillis)
        isUnreachable = true
    }

    /**
     * Records an attempt that failed after it had been sent.
     *
     * Ejects the server if most of its recent requests failed.
     */
    fun recordFailure(nowMillis: Long) {
        recordOutcome(failed = true)
        if (outcomeCount >= MIN_OUTCOME_COUNT && failureShare > MAX_FAILURE_SHARE) eject(nowMillis)
    }

    /** Records that the server sent a complete response or a well-formed refusal. */
    fun recordSuccess() {
        recordOutcome(failed = false)
        if (failureShare < RECOVERED_FAILURE_SHARE) recentEjections = 0
    }

    /** Returns whether the server is leaving, by the host list or by its own announcement. */
    fun isLeaving(nowMillis: Long) = isLeavingByHostList || nowMillis < drainingUntilMillis

    /** Returns whether the server is ejected because it could not be reached. */
    fun isUnreachable(nowMillis: Long) = isUnreachable && ejectedSinceMillis(nowMillis) != null

    /** Returns when the server was ejected, or null if it is not ejected at [nowMillis]. */
    fun ejectedSinceMillis(nowMillis: Long): Long? =
        ejectionStartMillis.takeIf { nowMillis < ejectedUntilMillis }

    private fun recordOutcome(failed: Boolean) {
        outcomeCount++
        val outcome = if (failed) 1.0 else 0.0
        failureShare += maxOf(MIN_GAIN, 1.0 / outcomeCount) * (outcome - failureShare)
    }

    private fun eject(nowMillis: Long) {
        if (nowMillis < ejectedUntilMillis) return
        val durationMillis = FIRST_EJECTION_MILLIS shl recentEjections.coerceAtMost(MAX_DOUBLINGS)
        recentEjections++
        isUnreachable = false
        ejectionStartMillis = nowMillis
        ejectedUntilMillis = nowMillis + durationMillis
        outcomeCount = 0
        failureShare = 0.0
    }

    companion object {
        /** How long a drain announcement by the server overrides a host list that lags behind. */
        private const val DRAIN_NOTICE_TTL_MILLIS = 60_000L
        private const val FIRST_EJECTION_MILLIS = 1_000L
        private const val MAX_DOUBLINGS = 5

        /** The outcomes since its last ejection before failures eject a server again. */
        private const val MIN_OUTCOME_COUNT = 5

        /** The least weight of a new outcome in the moving average of failures. */
        private const val MIN_GAIN = 0.1
        private const val MAX_FAILURE_SHARE = 0.5

        /** The failure share below which the next ejection starts from the shortest duration. */
        private const val RECOVERED_FAILURE_SHARE = 0.1

        /** The share of the reachable servers that may be ejected for failures at a time. */
        private const val MAX_EJECTED_SHARE = 0.5

        /**
         * Returns the servers of [pool] that get new requests.
         *
         * If more servers are ejected than allowed, the earliest ejected ones are readmitted first.
         */
        fun <T> usable(pool: List<T>, nowMillis: Long, healthOf: (T) -> BackendHealth): List<T> {
            val staying = pool.filterNot { healthOf(it).isLeaving(nowMillis) }
            val reachable = staying.filterNot { healthOf(it).isUnreachable(nowMillis) }
            if (reachable.isEmpty()) return staying
            val maxEjected = (reachable.size * MAX_EJECTED_SHARE).toInt()
            val ejected = reachable
                .filter { healthOf(it).ejectedSinceMillis(nowMillis) != null }
                .sortedByDescending { healthOf(it).ejectedSinceMillis(nowMillis) }
                .take(maxEjected)
                .toSet()
            return reachable.filterNot { it in ejected }
        }
    }
}
