/**
 * A budget of retries that is a share of the requests, so that retries can't multiply an overload.
 */
package sycamoremast.coordination.request

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A token bucket that each request feeds; safe for use from any thread. */
class RetryBudget(private val burst: Double = DEFAULT_BURST) {
    private var tokens = burst / 2

    /** Adds the share of a retry, [percent] of one, that a new request allows. */
    @Synchronized
    fun requestArrived(percent: Int) {
        require(percent in 0..100) { "not a percentage: $percent" }
        tokens = minOf(burst, tokens + percent / 100.0)
    }

    /** Returns whether a retry is allowed, and takes it from the budget. */
    @Synchronized
    fun tryTake(): Boolean {
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    companion object {
        /** The most retries that can follow one another at once. */
        const val DEFAULT_BURST = 20.0
    }
}

/** Returns a delay before the retry that follows [attempts], drawn at random below a bound. */
fun retryDelay(attempts: Int, random: Random): Duration {
    require(attempts >= 1) { "attempts are counted from 1: $attempts" }
    val doublings = (attempts - 1).coerceAtMost(MAX_DOUBLINGS)
    return random.nextLong(1, (FIRST_BOUND_MILLIS shl doublings) + 1).milliseconds
}

private const val FIRST_BOUND_MILLIS = 10L
private const val MAX_DOUBLINGS = 6
