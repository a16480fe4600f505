/**
 * Chooses the retry delay of refused callers.
 *
 * Retries are scheduled one after another, at the rate that the service can handle beside new
 * requests, with random jitter. Callers therefore neither retry all at once nor long after the
 * service has recovered.
 */
package sycamoremast.coordination.request

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Schedules the retries of refused callers; not safe for use by several threads at once. */
class RetryAfterSchedule(private val random: Random) {
    private var nextSlotMillis = 0.0
    private val completions = RateMeter()
    private val arrivals = RateMeter()

    /** Records that a request completed. */
    fun recordCompletion(nowMillis: Double) = completions.add(nowMillis)

    /** Records that a request arrived. */
    fun recordArrival(nowMillis: Double) = arrivals.add(nowMillis)

    /** Returns the delay until the retry, which follows the backlog of [backlogMillis]. */
    fun scheduleRetry(nowMillis: Double, backlogMillis: Double): Duration {
        val earliest = nowMillis + maxOf(backlogMillis, MIN_DELAY_MILLIS)
        val scheduled = maxOf(earliest, nextSlotMillis)
        nextSlotMillis = minOf(scheduled + 1 / retryRate(nowMillis), nowMillis + MAX_DELAY_MILLIS)
        val jitter = 1 + MAX_JITTER * random.nextDouble()
        val delay = (scheduled - nowMillis).coerceAtMost(MAX_DELAY_MILLIS) * jitter
        return delay.toLong().milliseconds
    }

    /** Clears the schedule; to be called when the queue is empty, as the service has recovered. */
    fun reset(nowMillis: Double) {
        nextSlotMillis = minOf(nextSlotMillis, nowMillis)
    }

    private fun retryRate(nowMillis: Double): Double {
        val completionRate = completions.perMilli(nowMillis)
        val arrivalRate = arrivals.perMilli(nowMillis)
        return maxOf(completionRate - arrivalRate, completionRate * MIN_RETRY_SHARE, MIN_RATE)
    }

    private companion object {
        const val MIN_DELAY_MILLIS = 100.0
        const val MAX_DELAY_MILLIS = 60_000.0
        const val MAX_JITTER = 0.5

        /** The least rate of retries, as a share of the completion rate. */
        const val MIN_RETRY_SHARE = 0.25

        /** The least rate of retries, in retries per millisecond. */
        const val MIN_RATE = 0.001
    }
}

/** An exponentially weighted rate of events. */
internal class RateMeter(private val decayMillis: Double = DEFAULT_DECAY_MILLIS) {
    private var weight = 0.0
    private var updatedMillis = 0.0

    fun add(nowMillis: Double, amount: Double = 1.0) {
        weight = decayed(nowMillis) + amount
        updatedMillis = nowMillis
    }

    /** Returns the rate in events per millisecond. */
    fun perMilli(nowMillis: Double) = decayed(nowMillis) / decayMillis

    private fun decayed(nowMillis: Double) =
        weight * kotlin.math.exp((updatedMillis - nowMillis) / decayMillis)

    private companion object {
        const val DEFAULT_DECAY_MILLIS = 2_000.0
    }
}
