/**
 * A model of how much tasks that use idle CPU slow down serving tasks on the same worker.
 *
 * The measure is headroom: the target of the tail latency divided by the tail latency, so that 1 is
 * at the target and more is better. The tail latency of a serving task grows like that of a queue,
 * so its headroom falls in proportion to its load and to the CPU share of its neighbours. An effect
 * is the headroom that a neighbour would cost if it used the whole worker. It is learned for each
 * pair of a serving image and a neighbour's image.
 */
package sycamoremast.coordination.workflow

/** Estimates the effects of neighbours with a Kalman filter: a mean and a variance per pair. */
internal class TailModel {
    private class Estimate {
        var mean = PRIOR_EFFECT
        var variance = PRIOR_VARIANCE
    }

    private val pairs = HashMap<Pair<String, String>, Estimate>()

    /** Returns the headroom that [neighbour] would cost [serving] if it used the whole worker. */
    fun effect(serving: String, neighbour: String): Double =
        pairs[serving to neighbour]?.mean ?: PRIOR_EFFECT

    /** Returns the headroom that neighbours with these [shares] of a worker cost [serving]. */
    fun cost(serving: String, shares: Map<String, Double>): Double =
        shares.entries.sumOf { (image, share) -> effect(serving, image) * share }

    /**
     * Updates the estimates from a reading: neighbours with [shares] cost [serving] this [loss].
     */
    fun observe(serving: String, shares: Map<String, Double>, loss: Double) {
        val known = shares.filterValues { it > 0.0 }
            .mapValues { pairs.getOrPut(serving to it.key) { Estimate() } }
        if (known.isEmpty()) return
        val error = loss - cost(serving, shares)
        val spread = NOISE_VARIANCE + known.entries.sumOf { (image, estimate) ->
            estimate.variance * shares.getValue(image).let { it * it }
        }
        for ((image, estimate) in known) {
            val gain = estimate.variance * shares.getValue(image) / spread
            estimate.mean = (estimate.mean + gain * error).coerceIn(0.0, MAX_EFFECT)
            estimate.variance *= 1 - gain * shares.getValue(image)
            estimate.variance = maxOf(estimate.variance + VARIANCE_DRIFT, MIN_VARIANCE)
        }
    }

    private companion object {
        /** Most pairs of images on BKTIB have an effect between 0 and 4, some between 8 and 12. */
        const val PRIOR_EFFECT = 1.5
        const val PRIOR_VARIANCE = 9.0
        const val MAX_EFFECT = 30.0

        /** Variance of a reading of headroom that the model does not explain, on BKTIB. */
        const val NOISE_VARIANCE = 0.2

        /** Added per reading, so that old readings lose weight as effects change. */
        const val VARIANCE_DRIFT = 0.02
        const val MIN_VARIANCE = 0.1
    }
}
