/**
 * Estimates run times by route and team.
 *
 * Each key has an exponentially weighted mean and variance of the logarithm of its run times, so
 * that a single outlier changes an estimate little. The declared run time is only the prior; a few
 * runs outweigh a wrong one.
 */
package sycamoremast.coordination.request

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** The kind of request for which a run time is estimated. */
data class RunTimeKey(val team: String, val route: String)

/** An estimated run time; [p90Millis] is its 90th percentile. */
data class RunTime(val medianMillis: Double, val p90Millis: Double)

/** Estimates run times; not safe for use by several threads at once. */
class RunTimeEstimator(private val maxKeys: Int = DEFAULT_MAX_KEYS) {
    private val estimates = object : LinkedHashMap<RunTimeKey, Statistics>(16, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<RunTimeKey, Statistics>) =
            size > maxKeys
    }

    /** Returns the estimate for [key], whose median is [declaredMillis] before the first run. */
    fun estimate(key: RunTimeKey, declaredMillis: Double): RunTime =
        estimates.getOrPut(key) { Statistics(declaredMillis) }.toRunTime()

    /** Records that a request of [key] ran for [millis]. */
    fun recordRun(key: RunTimeKey, millis: Double, declaredMillis: Double = millis) {
        estimates.getOrPut(key) { Statistics(declaredMillis) }.add(millis)
    }

    /**
     * Records that a request of [key] was still running after [millis].
     *
     * This raises the estimate if the request has exceeded the median, and never lowers it.
     */
    fun recordLowerBound(key: RunTimeKey, millis: Double, declaredMillis: Double = millis) {
        val statistics = estimates.getOrPut(key) { Statistics(declaredMillis) }
        if (millis > statistics.toRunTime().medianMillis) statistics.add(millis)
    }

    private class Statistics(declaredMillis: Double) {
        private var mean = ln(declaredMillis.coerceAtLeast(MIN_RUN_MILLIS))
        private var variance = PRIOR_VARIANCE
        private var weight = PRIOR_RUNS

        fun add(millis: Double) {
            weight += 1
            val gain = maxOf(1 / weight, MIN_GAIN)
            val deviation = ln(millis.coerceAtLeast(MIN_RUN_MILLIS)) - mean
            mean += gain * deviation
            variance = (1 - gain) * (variance + gain * deviation * deviation)
        }

        fun toRunTime() = RunTime(exp(mean), exp(mean + P90_DEVIATIONS * sqrt(variance)))
    }

    companion object {
        /** The number of keys above which the least recently used one is evicted. */
        const val DEFAULT_MAX_KEYS = 10_000

        private const val LOAD_FACTOR = 0.75f
        private const val MIN_RUN_MILLIS = 0.1

        /** The weight of the declared run time, in runs. */
        private const val PRIOR_RUNS = 0.5
        private const val PRIOR_VARIANCE = 0.1

        /** The least weight of a new run: 1 in 20. */
        private const val MIN_GAIN = 0.05

        /** The 90th percentile of a normal distribution, in standard deviations above its mean. */
        private const val P90_DEVIATIONS = 1.2816
    }
}
