/**
 * Keeps slots free of long work, so that short work finds one soon.
 *
 * A request is long if it is expected to run many times longer than the shortest kind of request in
 * recent use. The slots kept free follow the mean of those that short work asks for, and the
 * deviation that independent arrivals give that number. The measured deviation is not used: after a
 * surge it stays large for long and would keep long work back.
 */
package sycamoremast.coordination.request

import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.sqrt

/** Tells long requests from short ones and bounds the slots that long ones may hold. */
class LongWorkBound {
    private val lastSeenMillis = linkedMapOf<RunTimeKey, Seen>()
    private val demand = DemandMeter()
    private val usualDemand = DemandMeter(priorMillis = PRIOR_MILLIS)

    /** Returns whether a request of [key] that is expected to run [expectedMillis] is long. */
    fun isLong(key: RunTimeKey, expectedMillis: Double, nowMillis: Double): Boolean {
        lastSeenMillis.values.removeIf { it.atMillis < nowMillis - RECENT_MILLIS }
        lastSeenMillis[key] = Seen(nowMillis, expectedMillis)
        val shortest = lastSeenMillis.values.minOf { it.expectedMillis }
        return expectedMillis > maxOf(LONG_FACTOR * shortest, MIN_LONG_MILLIS)
    }

    /** Takes into account that from now on short work asks for [wanted] of [slots]. */
    fun shortDemand(wanted: Int, slots: Int, nowMillis: Double) {
        val asked = minOf(wanted, slots).toDouble()
        demand.set(asked, nowMillis)
        usualDemand.set(asked, nowMillis)
    }

    /** Returns how many of [slots] long work may hold; at least one, so that it never starves. */
    fun longLimit(slots: Int, nowMillis: Double): Int = limit(slots, demand.mean(nowMillis))

    /**
     * Returns how many of [slots] long work can be expected to hold in the seconds to come.
     *
     * It differs from [longLimit] just after the first request: one that was short and seen for a
     * moment says to keep a slot free now, yet little about how long others will have to wait.
     */
    fun expectedLongLimit(slots: Int, nowMillis: Double): Int =
        limit(slots, usualDemand.mean(nowMillis))

    private fun limit(slots: Int, mean: Double): Int {
        val wanted = ceil(mean + DEVIATIONS * sqrt(mean)).toInt()
        val least = ceil(slots * MIN_RESERVE).toInt()
        return (slots - maxOf(wanted, least)).coerceAtLeast(1)
    }

    /** Returns how many of [slots] long work gets before short work, if any of it waits. */
    fun longFloor(slots: Int): Int = (slots * LONG_FLOOR).toInt()

    private data class Seen(val atMillis: Double, val expectedMillis: Double)

    private companion object {
        const val LONG_FACTOR = 8.0
        const val MIN_LONG_MILLIS = 20.0
        const val RECENT_MILLIS = 60_000.0
        const val MIN_RESERVE = 0.125

        /** The share of the slots that long work gets in any case; none of a few slots. */
        const val LONG_FLOOR = 0.05

        /** The standard deviations above its mean that the demand of short work hardly exceeds. */
        const val DEVIATIONS = 3.0

        /** The time without demand that is taken to have passed before the first request. */
        const val PRIOR_MILLIS = 3_000.0
    }
}

/** The mean of a demand over time, exponentially weighted, after [priorMillis] without any. */
internal class DemandMeter(
    priorMillis: Double = 0.0,
    private val decayMillis: Double = DEFAULT_DECAY_MILLIS
) {
    private var current = 0.0
    private var sinceMillis = Double.NaN
    private var observedMillis = priorMillis
    private var mean = 0.0

    /** Sets the demand from [nowMillis] on. */
    fun set(demand: Double, nowMillis: Double) {
        advance(nowMillis)
        current = demand
    }

    fun mean(nowMillis: Double): Double {
        advance(nowMillis)
        return mean
    }

    private fun advance(nowMillis: Double) {
        val span = if (sinceMillis.isNaN()) 0.0 else nowMillis - sinceMillis
        sinceMillis = nowMillis
        if (span <= 0) return
        observedMillis += span
        val gain = maxOf(1 - exp(-span / decayMillis), span / observedMillis)
        mean += gain * (current - mean)
    }

    private companion object {
        const val DEFAULT_DECAY_MILLIS = 3_000.0
    }
}
