/**
 * Estimates how much the tasks of one job slow down those of another on the same worker.
 *
 * An observation is the progress of a task between two of its checkpoints, which is delayed and
 * noisy. The model assumes that the slowdowns by all neighbours multiply, so that their logarithms
 * add up. Each pair of jobs has an estimate with a variance, updated as in a Kalman filter: an
 * observation changes the pairs involved in proportion to their variances, and the variance of a
 * pair grows while it is not observed, as its load may change.
 */
package sycamoremast.coordination.interference

import kotlin.math.ln
import kotlin.math.sqrt
import sycamoremast.coordination.record.JobKey

/** The tasks of [job] as neighbours of other tasks, which they slow down less if throttled. */
data class Neighbour(val job: JobKey, val isThrottled: Boolean)

/** The estimated logarithm of a slowdown, with its [variance] at [observedMillis]. */
data class PairEstimate(val mean: Double, val variance: Double, val observedMillis: Long) {
    /** Returns the lower confidence bound of the logarithm at [nowMillis]. */
    fun lowerBoundAt(nowMillis: Long): Double = mean - DEVIATIONS * sqrt(varianceAt(nowMillis))

    internal fun varianceAt(nowMillis: Long) =
        (variance + (nowMillis - observedMillis) * DRIFT_PER_MILLI).coerceAtMost(PRIOR_VARIANCE)

    companion object {
        /** Standard deviations below the mean: a one-sided confidence of 95 %. */
        private const val DEVIATIONS = 1.64

        /** The growth of the variance per millisecond without an observation. */
        private const val DRIFT_PER_MILLI = 1e-7
        private const val PRIOR_VARIANCE = 0.25

        /** The estimate of a pair that has not been observed. */
        val UNKNOWN = PairEstimate(0.0, PRIOR_VARIANCE, 0)
    }
}

/** The estimates of all pairs of jobs in a shard. */
class InterferenceModel {
    private val pairs = HashMap<Pair<JobKey, Neighbour>, PairEstimate>()

    /** Returns the estimated slowdown of [victim] by [neighbour]. */
    fun estimate(victim: JobKey, neighbour: Neighbour): PairEstimate =
        pairs[victim to neighbour] ?: PairEstimate.UNKNOWN

    /** Updates the estimates: [victim] ran at [rate] of its full speed beside [neighbours]. */
    fun observe(victim: JobKey, neighbours: Set<Neighbour>, rate: Double, nowMillis: Long) {
        if (neighbours.isEmpty() || rate <= 0.0) return
        val known = neighbours.associateWith { estimate(victim, it) }
        val variances = known.mapValues { it.value.varianceAt(nowMillis) }
        val innovationVariance = variances.values.sum() + NOISE_VARIANCE
        val residual = -ln(rate) - known.values.sumOf { it.mean }
        for ((neighbour, prior) in known) {
            val variance = variances.getValue(neighbour)
            val gain = variance / innovationVariance
            val mean = prior.mean + gain * residual
            pairs[victim to neighbour] = PairEstimate(mean, variance * (1 - gain), nowMillis)
        }
    }

    private companion object {
        const val NOISE_VARIANCE = 0.1
    }
}
