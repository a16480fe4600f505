/**
 * Learned run times by route and team.
 *
 * Each key keeps an exponentially weighted mean and variance of the logarithm of its run times, so
 * that one outlier moves an estimate little and a wrong declaration is overcome after a few runs.
 * What was declared is only the prior.
 */
package sycamoremast.coordination.request

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** What run times are learned by. */
data class RunTimeKey(val team: String, val route: String)

/** An estimated run time; nine of ten requests are expected to end within [highMillis]. */
data class RunTime(val medianMillis: Double, val highMillis: Double)

/** Estimates run times; not safe for use by several threads at once. */
class RunTimeEstimator(private val maxKeys: Int = DEFAULT_MAX_KEYS) {
    private val learned = object : LinkedHashMap<RunTimeKey, Learned>(16, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<RunTimeKey, Learned>) =
            size > maxKeys
    }

    /** Returns the estimate for [key]; without any run it is near [declaredMillis]. */
    fun estimate(key: RunTimeKey, declaredMillis: Double): RunTime =
        learned.getOrPut(key) { Learned(declaredMillis) }.toRunTime()

    /** Takes into account that a request of [key] ran for [millis]. */
    fun ran(key: RunTimeKey, millis: Double, declaredMillis: Double = millis) {
        learned.getOrPut(key) { Learned(declaredMillis) }.add(millis)
    }

    /** Takes into account that a request of [key] was given up on after [millis], still running. */
    fun ranAtLeast(key: RunTimeKey, millis: Double, declaredMillis: Double = millis) {
        val known = learned.getOrPut(key) { Learned(declaredMillis) }
        if (millis > known.toRunTime().medianMillis) known.add(millis)
    }

    private class Learned(declaredMillis: Double) {
        private var mean = ln(declaredMillis.coerceAtLeast(MIN_MILLIS))
        private var variance = PRIOR_VARIANCE
        private var weight = PRIOR_RUNS

        fun add(millis: Double) {
            weight += 1
            val gain = maxOf(1 / weight, MIN_GAIN)
            val error = ln(millis.coerceAtLeast(MIN_MILLIS)) - mean
            mean += gain * error
            variance = (1 - gain) * (variance + gain * error * error)
        }

        fun toRunTime() = RunTime(exp(mean), exp(mean + HIGH_DEVIATIONS * sqrt(variance)))
    }

    companion object {
        /** The routes and teams that are remembered, the least recently used dropped first. */
        const val DEFAULT_MAX_KEYS = 10_000

        private const val LOAD_FACTOR = 0.75f
        private const val MIN_MILLIS = 0.1

        /** How many runs a declaration counts for. */
        private const val PRIOR_RUNS = 0.5
        private const val PRIOR_VARIANCE = 0.1

        /** The least weight of a new run, about one in twenty. */
        private const val MIN_GAIN = 0.05

        /** The standard deviations above the mean within which nine of ten runs lie. */
        private const val HIGH_DEVIATIONS = 1.2816
    }
}
