/**
 * Adaptive limit on the concurrent requests to one backend server.
 *
 * The limit decreases while the server is much slower than expected and slower than its peers, and
 * increases otherwise. A limit below 1 is enforced by pauses between single requests.
 */
package sycamoremast.coordination.request

/** An additive-increase, multiplicative-decrease limit; not safe for concurrent use. */
class ConcurrencyLimit(private val maxLimit: Double = DEFAULT_MAX_LIMIT) {
    private var limit = maxLimit
    private var runsSinceDecrease = 0
    private var pausedUntilMillis = Double.NEGATIVE_INFINITY

    /** The smoothed ratio of actual to expected run time on this server. */
    var slowness = 1.0
        private set

    /**
     * Adjusts the limit after a request that ran for [runMillis] while [inUse] slots were in use.
     *
     * [poolSlowness] is the typical [slowness] of all servers. A limit above [inUse] was not
     * reached and so is not known to be safe; a decrease therefore starts from [inUse].
     */
    fun recordRun(
        runMillis: Double,
        expectedMillis: Double,
        poolSlowness: Double,
        nowMillis: Double,
        inUse: Int
    ) {
        val ratio = (runMillis / maxOf(expectedMillis, MIN_EXPECTED_MILLIS)).coerceAtMost(MAX_RATIO)
        slowness += SMOOTHING_GAIN * (ratio - slowness)
        runsSinceDecrease++
        if (slowness <= SLOW_FACTOR * maxOf(1.0, poolSlowness)) {
            limit = minOf(maxLimit, limit + INCREASE / maxOf(limit, 1.0))
        } else if (runsSinceDecrease > minOf(limit, inUse.toDouble())) {
            limit = maxOf(MIN_LIMIT, minOf(limit, inUse.toDouble()) * DECREASE)
            runsSinceDecrease = 0
        }
        if (limit < 1) pausedUntilMillis = nowMillis + runMillis * (1 / limit - 1)
    }

    /** Returns how many of this host's [share] of slots may be in use at [nowMillis]. */
    fun allowedSlots(share: Int, nowMillis: Double): Int = when {
        limit < 1 && nowMillis < pausedUntilMillis -> 0
        else -> minOf(share, maxOf(1, limit.toInt()))
    }

    companion object {
        /** The upper bound of the limit; the share of one host is seldom larger. */
        const val DEFAULT_MAX_LIMIT = 64.0

        private const val MIN_LIMIT = 0.1
        private const val SMOOTHING_GAIN = 0.2
        private const val SLOW_FACTOR = 3.0
        private const val INCREASE = 1.0
        private const val DECREASE = 0.7
        private const val MIN_EXPECTED_MILLIS = 1.0
        private const val MAX_RATIO = 50.0
    }
}
