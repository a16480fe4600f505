/** Limits retries to a share of the requests, so that retries can't amplify an overload. */
package sycamoremast.coordination.request

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A token bucket that is refilled by new requests; safe for use by several threads at once. */
class RetryBudget(private val burst: Double = DEFAULT_BURST) {
    private var tokens = burst / 2

    /** Adds [retryPercent] hundredths of a token for a new request. */
    @Synchronized
    fun deposit(retryPercent: Int) {
        require(retryPercent in 0..100) { "retryPercent must be in 0..100, but is $retryPercent" }
        tokens = minOf(burst, tokens + retryPercent / 100.0)
    }

    /** Takes a token for a retry, and returns false if there is none. */
    @Synchronized
    fun tryWithdraw(): Boolean {
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    companion object {
        /** The capacity of the bucket, in retries. */
        const val DEFAULT_BURST = 20.0
    }
}

/** Returns an exponential backoff with full jitter before the retry after [attempts] attempts. */
fun retryDelay(attempts: Int, random: Random): Duration {
    require(attempts >= 1) { "attempts must be at least 1, but is $attempts" }
    val doublings = (attempts - 1).coerceAtMost(MAX_DOUBLINGS)
    return random.nextLong(1, (FIRST_BOUND_MILLIS shl doublings) + 1).milliseconds
}

private const val FIRST_BOUND_MILLIS = 10L
private const val MAX_DOUBLINGS = 6
