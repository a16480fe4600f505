/**
 * Limits the slots that long requests may hold, so that short requests seldom wait for one.
 *
 * A request is long if its expected run time is many times that of the shortest kind of request
 * seen recently. The number of slots reserved for short requests is their mean demand plus a
 * multiple of its standard deviation, which is the square root of the mean, as for Poisson
 * arrivals. The measured deviation is not used: it stays large long after a surge and would hold
 * long requests back.
 */
package sycamoremast.coordination.request

import kotlin.math.ceil
import kotlin.math.exp
import kotlin.math.sqrt

/** Classifies requests as long or short and limits the slots of long ones. */
class LongRequestLimit {
    private val recentKinds = linkedMapOf<RunTimeKey, RecentKind>()
    private val demand = DemandMeter()
    private val longTermDemand = DemandMeter(priorMillis = PRIOR_MILLIS)

    /** Records a request of [key] with its expected run time, and returns whether it is long. */
    fun recordAndCheckLong(key: RunTimeKey, expectedMillis: Double, nowMillis: Double): Boolean {
        recentKinds.values.removeIf { it.atMillis < nowMillis - RECENT_USE_MILLIS }
        recentKinds[key] = RecentKind(nowMillis, expectedMillis)
        val shortest = recentKinds.values.minOf { it.expectedMillis }
        return expectedMillis > maxOf(LONG_FACTOR * shortest, MIN_LONG_MILLIS)
    }

    /** Records that short requests use or want [demandedSlots] of [slots] from [nowMillis] on. */
    fun recordShortDemand(demandedSlots: Int, slots: Int, nowMillis: Double) {
        val cappedDemand = minOf(demandedSlots, slots).toDouble()
        demand.set(cappedDemand, nowMillis)
        longTermDemand.set(cappedDemand, nowMillis)
    }

    /** Returns how many of [slots] long requests may hold: at least 1, so that none starves. */
    fun maxLongSlots(slots: Int, nowMillis: Double): Int = maxSlots(slots, demand.mean(nowMillis))

    /**
     * Returns how many of [slots] long requests are expected to be allowed in the next few seconds.
     *
     * It differs from [maxLongSlots] only just after the first requests. A single short request is
     * a reason to reserve a slot now, but it says little about how long other requests will wait.
     */
    fun expectedMaxLongSlots(slots: Int, nowMillis: Double): Int =
        maxSlots(slots, longTermDemand.mean(nowMillis))

    private fun maxSlots(slots: Int, mean: Double): Int {
        val demandedSlots = ceil(mean + DEVIATIONS * sqrt(mean)).toInt()
        val minReserve = ceil(slots * MIN_RESERVED_SHARE).toInt()
        return (slots - maxOf(demandedSlots, minReserve)).coerceAtLeast(1)
    }

    /** Returns how many of [slots] waiting long requests get ahead of short ones. */
    fun guaranteedLongSlots(slots: Int): Int = (slots * GUARANTEED_LONG_SHARE).toInt()

    private data class RecentKind(val atMillis: Double, val expectedMillis: Double)

    private companion object {
        /** A long request is expected to run more than this many times the shortest kind. */
        const val LONG_FACTOR = 8.0

        /** Requests expected to run no longer than this are never long. */
        const val MIN_LONG_MILLIS = 20.0
        const val RECENT_USE_MILLIS = 60_000.0

        /** The share of slots that is reserved for short requests whatever their demand. */
        const val MIN_RESERVED_SHARE = 0.125

        /** The share of slots guaranteed to long requests, rounded down: 0 below 20 slots. */
        const val GUARANTEED_LONG_SHARE = 0.05

        /** The reserve covers the mean demand of short requests plus this many deviations. */
        const val DEVIATIONS = 3.0

        /** The period without demand that is assumed to precede the first request. */
        const val PRIOR_MILLIS = 3_000.0
    }
}

/** An exponentially weighted mean of a demand, after [priorMillis] assumed without demand. */
internal class DemandMeter(
    priorMillis: Double = 0.0,
    private val decayMillis: Double = DEFAULT_DECAY_MILLIS
) {
    private var current = 0.0
    private var updatedMillis = Double.NaN
    private var observedMillis = priorMillis
    private var mean = 0.0

    /** Sets the demand from [nowMillis] on. */
    fun set(demand: Double, nowMillis: Double) {
        advance(nowMillis)
        current = demand
    }

    /** Returns the weighted mean of the demand up to [nowMillis]. */
    fun mean(nowMillis: Double): Double {
        advance(nowMillis)
        return mean
    }

    private fun advance(nowMillis: Double) {
        val elapsedMillis = if (updatedMillis.isNaN()) 0.0 else nowMillis - updatedMillis
        updatedMillis = nowMillis
        if (elapsedMillis <= 0) return
        observedMillis += elapsedMillis
        val gain = maxOf(1 - exp(-elapsedMillis / decayMillis), elapsedMillis / observedMillis)
        mean += gain * (current - mean)
    }

    private companion object {
        const val DEFAULT_DECAY_MILLIS = 3_000.0
    }
}
