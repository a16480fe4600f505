/** A token bucket that limits and counts the calls on the key-value service. */
package sycamoremast.coordination.store

import sycamoremast.coordination.MonotonicClock

/**
 * Allows [ratePerSecond] calls on average and bursts of up to [burst] calls.
 *
 * All parts of a process that call the service share one budget.
 */
class CallBudget(
    val ratePerSecond: Double,
    val burst: Int,
    private val clock: MonotonicClock = MonotonicClock.system()
) {
    private var tokens = burst.toDouble()
    private var refilledAtMillis = clock.nowMillis()
    private var takenCount = 0L
    private var delayedCount = 0L

    init {
        require(ratePerSecond > 0 && burst > 0) { "no calls allowed: $ratePerSecond/s, $burst" }
    }

    /** The number of calls allowed so far. */
    val taken: Long
        @Synchronized get() = takenCount

    /** The number of times so far that a caller found no token and had to wait or give up. */
    val delayed: Long
        @Synchronized get() = delayedCount

    /** Takes a token and returns 0, or returns the milliseconds until one is available. */
    @Synchronized
    fun takeOrDelayMillis(): Long {
        refill()
        if (tokens >= 1) {
            tokens -= 1
            takenCount++
            return 0
        }
        delayedCount++
        return ((1 - tokens) * MILLIS_PER_SECOND / ratePerSecond).toLong() + 1
    }

    /** Waits up to [timeoutMillis] for a token; returns whether one was taken. */
    fun take(timeoutMillis: Long, pause: Pause = Pause.system()): Boolean {
        val end = clock.nowMillis() + timeoutMillis
        var wait = takeOrDelayMillis()
        while (wait > 0) {
            if (clock.nowMillis() + wait > end) return false
            pause.pause(wait)
            wait = takeOrDelayMillis()
        }
        return true
    }

    private fun refill() {
        val now = clock.nowMillis()
        val refilled = (now - refilledAtMillis) * ratePerSecond / MILLIS_PER_SECOND
        tokens = (tokens + refilled).coerceAtMost(burst.toDouble())
        refilledAtMillis = now
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
