/**
 * How much tasks that use idle processors slow serving tasks down.
 *
 * The measure is headroom: the target of the response times' tail over the tail itself, so 1 is at
 * the target and more is better. A serving task's tail grows like that of a queue, so that its
 * headroom falls in proportion to its load and to what its neighbours take. An effect is the headroom
 * that a neighbour would cost if it used the whole worker; it is learned for each pair of images.
 */
package sycamoremast.coordination.workflow

/** Estimates of effects, each with its variance; pairs are of a serving and a neighbour's image. */
internal class TailModel {
    private class Estimate {
        var mean = PRIOR_EFFECT
        var variance = PRIOR_VARIANCE
    }

    private val pairs = HashMap<Pair<String, String>, Estimate>()

    /** Returns the headroom that [neighbour] would cost [serving] if it used a whole worker. */
    fun effect(serving: String, neighbour: String): Double =
        pairs[serving to neighbour]?.mean ?: PRIOR_EFFECT

    /** Returns the headroom that neighbours with these shares of a worker cost [serving]. */
    fun cost(serving: String, shares: Map<String, Double>): Double =
        shares.entries.sumOf { (image, share) -> effect(serving, image) * share }

    /** Takes in that neighbours with these [shares] of a worker cost [serving] this [loss]. */
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
        /** Measured on the first shared day of BKTIB: most pairs between 0 and 4, some 8 to 12. */
        const val PRIOR_EFFECT = 1.5
        const val PRIOR_VARIANCE = 9.0
        const val MAX_EFFECT = 30.0

        /** Variance of one reading of headroom beside what the model explains, same day. */
        const val NOISE_VARIANCE = 0.2

        /** Keeps old readings from weighing for ever, as effects change. */
        const val VARIANCE_DRIFT = 0.02
        const val MIN_VARIANCE = 0.1
    }
}
