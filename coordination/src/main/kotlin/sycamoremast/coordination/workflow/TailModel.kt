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

/** The images of a serving task and of a neighbour. */
internal data class ImagePair(val serving: String, val neighbour: String)

/** Estimates the effects of neighbours with a Kalman filter: a mean and a variance per pair. */
internal class TailModel {
    private class Estimate {
        var mean = PRIOR_EFFECT
        var variance = PRIOR_VARIANCE
    }

    /** By the image of the serving task, then of the neighbour. */
    private val effects = HashMap<String, HashMap<String, Estimate>>()
    private val neighbours = LinkedHashSet<String>()
    private val tolerances = HashMap<Set<String>, Double>()
    private var tolerancesUntilReading = 0L

    /** Whether any neighbour of a serving task has been observed. */
    val hasNeighbours: Boolean get() = neighbours.isNotEmpty()

    /** Returns the headroom that [neighbour] would cost [serving] if it used the whole worker. */
    fun effect(serving: String, neighbour: String): Double =
        effects[serving]?.get(neighbour)?.mean ?: PRIOR_EFFECT

    /** Whether too few readings of [pair] exist to tell a heavy effect from a light one. */
    fun isUncertain(pair: ImagePair): Boolean = variance(pair) > UNCERTAIN_VARIANCE

    private fun variance(pair: ImagePair) =
        effects[pair.serving]?.get(pair.neighbour)?.variance ?: PRIOR_VARIANCE

    /** The number of readings so far, by which a change of the estimates shows. */
    var readingCount = 0L
        private set

    /** Returns the most certain estimates, as a record for the next owner. */
    fun record(unixMillis: Long): InterferenceRecord {
        val known = effects.flatMap { (serving, byNeighbour) ->
            byNeighbour.map { (neighbour, it) ->
                PairEffect(serving, neighbour, it.mean, it.variance)
            }
        }
        return InterferenceRecord(
            known.sortedBy { it.variance }.take(MAX_RECORDED_PAIRS),
            unixMillis
        )
    }

    /**
     * Adds the estimates of [record] for pairs without readings; returns how many were added.
     *
     * They are the less certain the older they are. Estimates that are no valid numbers are left
     * out.
     */
    fun restore(record: InterferenceRecord, unixMillis: Long): Int {
        val ageMillis = (unixMillis - record.writtenUnixMillis).coerceIn(0, MAX_AGE_MILLIS)
        val valid = record.effects.take(MAX_RECORDED_PAIRS)
            .filter { it.effect in 0.0..MAX_EFFECT && it.variance in 0.0..PRIOR_VARIANCE }
            .filter { effects[it.serving]?.containsKey(it.neighbour) != true }
        for (pair in valid) {
            val estimate = Estimate().apply {
                mean = pair.effect
                variance = minOf(
                    pair.variance + ageMillis * VARIANCE_PER_MILLI_OF_AGE,
                    PRIOR_VARIANCE
                )
            }
            effects.getOrPut(pair.serving) { HashMap() }[pair.neighbour] = estimate
            neighbours += pair.neighbour
        }
        tolerances.clear()
        return valid.size
    }

    /** Returns the share of the known neighbours' images that slow none of [serving] notably. */
    fun tolerance(serving: Set<String>): Double {
        if (neighbours.isEmpty()) return 1.0
        if (readingCount >= tolerancesUntilReading) {
            tolerances.clear()
            tolerancesUntilReading = readingCount + TOLERANCE_READINGS
        }
        return tolerances.getOrPut(serving) {
            val tolerated = neighbours.count { other ->
                serving.all { effect(it, other) <= MAX_LIGHT_EFFECT }
            }
            tolerated.toDouble() / neighbours.size
        }
    }

    /** Returns the headroom that neighbours with these [shares] of a worker cost [serving]. */
    fun cost(serving: String, shares: Map<String, Double>): Double {
        if (shares.isEmpty()) return 0.0
        val ofServing = effects[serving]
        return shares.entries.sumOf { (image, share) ->
            (ofServing?.get(image)?.mean ?: PRIOR_EFFECT) * share
        }
    }

    /**
     * Updates the estimates from a reading: neighbours with [shares] cost [serving] this [loss].
     */
    fun observe(serving: String, shares: Map<String, Double>, loss: Double) {
        val ofServing = effects.getOrPut(serving) { HashMap() }
        val known = shares.filterValues { it > 0.0 }
            .mapValues { ofServing.getOrPut(it.key) { Estimate() } }
        if (known.isEmpty()) return
        readingCount++
        neighbours += known.keys
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
        /** Nearer to light pairs, so that unknown ones are tried, with a variance for both kinds. */
        const val PRIOR_EFFECT = 1.5
        const val PRIOR_VARIANCE = 9.0
        const val MAX_EFFECT = 30.0

        /** An effect of which a neighbour on a tenth of a worker takes a fifth of the target. */
        const val MAX_LIGHT_EFFECT = 2.0

        /** Above this variance, the estimate may be wrong by the effect of a heavy pair. */
        const val UNCERTAIN_VARIANCE = 4.0

        /** After so many readings, shares of tolerated images are computed anew. */
        const val TOLERANCE_READINGS = 50L

        /** Bounds the record to about 40 KB. */
        const val MAX_RECORDED_PAIRS = 512

        /** An estimate is as uncertain as an unknown one after about ten minutes. */
        const val MAX_AGE_MILLIS = 600_000L
        const val VARIANCE_PER_MILLI_OF_AGE = PRIOR_VARIANCE / MAX_AGE_MILLIS

        /** Variance of a reading of headroom that the model does not explain. */
        const val NOISE_VARIANCE = 0.2

        /** Added per reading, so that old readings lose weight as effects change. */
        const val VARIANCE_DRIFT = 0.02
        const val MIN_VARIANCE = 0.1
    }
}
