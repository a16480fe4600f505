/**
 * How much the tasks of one job slow down those of another on the same worker.
 *
 * What is observed is the progress of a task between two of its checkpoints, which comes late and
 * with noise. The logarithms of the slowdowns by all neighbours add up. Each pair has an estimate
 * with a variance; an observation moves the pairs in proportion to their variances, and the variance
 * of a pair grows while it is not observed, as the pair's load may shift.
 */
package sycamoremast.coordination.interference

import kotlin.math.ln
import kotlin.math.sqrt
import sycamoremast.coordination.record.JobKey

/** A job's tasks as neighbours, which slow others down less while they are throttled. */
data class Neighbour(val job: JobKey, val isThrottled: Boolean)

/** An estimated logarithm of a slowdown with its [variance] at the time [observedMillis]. */
data class PairEstimate(val mean: Double, val variance: Double, val observedMillis: Long) {
    /** Returns the slowdown that is exceeded with high confidence at [nowMillis]. */
    fun certainAt(nowMillis: Long): Double = mean - CONFIDENCE * sqrt(varianceAt(nowMillis))

    internal fun varianceAt(nowMillis: Long) =
        (variance + (nowMillis - observedMillis) * DRIFT_PER_MILLI).coerceAtMost(PRIOR_VARIANCE)

    companion object {
        private const val CONFIDENCE = 1.64
        private const val DRIFT_PER_MILLI = 1e-7
        private const val PRIOR_VARIANCE = 0.25

        /** The estimate of a pair that was never observed. */
        val UNKNOWN = PairEstimate(0.0, PRIOR_VARIANCE, 0)
    }
}

/** The estimates of all pairs of a shard. */
class InterferenceModel {
    private val pairs = HashMap<Pair<JobKey, Neighbour>, PairEstimate>()

    /** Returns the estimate of how [by] slows down [victim]. */
    fun estimate(victim: JobKey, by: Neighbour): PairEstimate =
        pairs[victim to by] ?: PairEstimate.UNKNOWN

    /** Takes in that [victim] progressed at [rate] of its full speed beside [neighbours]. */
    fun observe(victim: JobKey, neighbours: Set<Neighbour>, rate: Double, nowMillis: Long) {
        if (neighbours.isEmpty() || rate <= 0.0) return
        val known = neighbours.associateWith { estimate(victim, it) }
        val variances = known.mapValues { it.value.varianceAt(nowMillis) }
        val spread = variances.values.sum() + NOISE_VARIANCE
        val error = -ln(rate) - known.values.sumOf { it.mean }
        for ((neighbour, old) in known) {
            val variance = variances.getValue(neighbour)
            val gain = variance / spread
            val mean = old.mean + gain * error
            pairs[victim to neighbour] = PairEstimate(mean, variance * (1 - gain), nowMillis)
        }
    }

    private companion object {
        const val NOISE_VARIANCE = 0.1
    }
}
