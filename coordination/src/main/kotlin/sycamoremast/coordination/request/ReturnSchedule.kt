/**
 * Tells refused callers when to come back.
 *
 * Refused callers are booked one after another at the rate at which the service has room beside its
 * queue, and spread at random, so that they neither return together nor long after the recovery.
 */
package sycamoremast.coordination.request

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Books the return of refused callers; not safe for use by several threads at once. */
class ReturnSchedule(private val random: Random) {
    private var nextMillis = 0.0
    private val completions = RateMeter()
    private val arrivals = RateMeter()

    /** Takes into account that a request was run. */
    fun completed(nowMillis: Double) = completions.add(nowMillis)

    /** Takes into account that a request arrived. */
    fun arrived(nowMillis: Double) = arrivals.add(nowMillis)

    /** Returns when to come back, after [queueMillis] of queue have been worked off. */
    fun book(nowMillis: Double, queueMillis: Double): Duration {
        val earliest = nowMillis + maxOf(queueMillis, MIN_MILLIS)
        val booked = maxOf(earliest, nextMillis)
        nextMillis = minOf(booked + 1 / returnRate(nowMillis), nowMillis + MAX_MILLIS)
        val spread = 1 + SPREAD * random.nextDouble()
        val delay = (booked - nowMillis).coerceAtMost(MAX_MILLIS) * spread
        return delay.toLong().milliseconds
    }

    /** Drops all bookings once the queue is empty: the service has recovered. */
    fun recovered(nowMillis: Double) {
        nextMillis = minOf(nextMillis, nowMillis)
    }

    private fun returnRate(nowMillis: Double): Double {
        val capacity = completions.perMilli(nowMillis)
        val fresh = arrivals.perMilli(nowMillis)
        return maxOf(capacity - fresh, capacity * MIN_SHARE, MIN_RATE)
    }

    private companion object {
        const val MIN_MILLIS = 100.0
        const val MAX_MILLIS = 60_000.0
        const val SPREAD = 0.5

        /** The share of the capacity that is booked for returns however many new ones arrive. */
        const val MIN_SHARE = 0.25
        const val MIN_RATE = 0.001
    }
}

/** An exponentially weighted rate of events. */
internal class RateMeter(private val decayMillis: Double = DEFAULT_DECAY_MILLIS) {
    private var weight = 0.0
    private var atMillis = 0.0

    fun add(nowMillis: Double, amount: Double = 1.0) {
        weight = decayed(nowMillis) + amount
        atMillis = nowMillis
    }

    /** Returns the events in a millisecond. */
    fun perMilli(nowMillis: Double) = decayed(nowMillis) / decayMillis

    private fun decayed(nowMillis: Double) =
        weight * kotlin.math.exp((atMillis - nowMillis) / decayMillis)

    private companion object {
        const val DEFAULT_DECAY_MILLIS = 2_000.0
    }
}
