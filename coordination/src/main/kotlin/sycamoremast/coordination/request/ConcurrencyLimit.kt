/**
 * How many requests one backend server is given at a time, by how fast it answers.
 *
 * The limit falls while the server takes far longer than expected and longer than its peers, and
 * grows again otherwise. A limit below one is kept by pauses between requests.
 */
package sycamoremast.coordination.request

/** An additive-increase, multiplicative-decrease limit; not safe for concurrent use. */
class ConcurrencyLimit(private val most: Double = DEFAULT_MOST) {
    private var limit = most
    private var sinceDecrease = 0
    private var pausedUntilMillis = Double.NEGATIVE_INFINITY

    /** How many times longer than expected requests run here, smoothed. */
    var slowness = 1.0
        private set

    /**
     * Takes into account a request that ran for [ranMillis] while up to [inUse] were in progress.
     *
     * [poolSlowness] is that of the peers. A limit above [inUse] says only that it was never reached,
     * so that a decrease begins at [inUse].
     */
    fun ran(
        ranMillis: Double,
        expectedMillis: Double,
        poolSlowness: Double,
        nowMillis: Double,
        inUse: Int
    ) {
        val ratio = (ranMillis / maxOf(expectedMillis, MIN_MILLIS)).coerceAtMost(MAX_RATIO)
        slowness += GAIN * (ratio - slowness)
        sinceDecrease++
        if (slowness <= SLOW_FACTOR * maxOf(1.0, poolSlowness)) {
            limit = minOf(most, limit + INCREASE / maxOf(limit, 1.0))
        } else if (sinceDecrease > minOf(limit, inUse.toDouble())) {
            limit = maxOf(LEAST, minOf(limit, inUse.toDouble()) * DECREASE)
            sinceDecrease = 0
        }
        if (limit < 1) pausedUntilMillis = nowMillis + ranMillis * (1 / limit - 1)
    }

    /** Returns how many of [share] slots may be in use. */
    fun allowed(share: Int, nowMillis: Double): Int = when {
        limit < 1 && nowMillis < pausedUntilMillis -> 0
        else -> minOf(share, maxOf(1, limit.toInt()))
    }

    companion object {
        /** The highest limit that is learned; a share is seldom larger. */
        const val DEFAULT_MOST = 64.0

        private const val LEAST = 0.1
        private const val GAIN = 0.2
        private const val SLOW_FACTOR = 3.0
        private const val INCREASE = 1.0
        private const val DECREASE = 0.7
        private const val MIN_MILLIS = 1.0
        private const val MAX_RATIO = 50.0
    }
}
