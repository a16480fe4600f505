/** Exponential back-off with jitter. */
package sycamoremast.coordination.store

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Delays that double from [initial] up to [max]; each is drawn at random from its upper half. */
data class Backoff(val initial: Duration = DEFAULT_INITIAL, val max: Duration = DEFAULT_MAX) {
    init {
        require(initial.isPositive() && max >= initial) { "back-off must grow: $initial to $max" }
    }

    /** Returns the milliseconds to wait before attempt number [attempt], counted from 1. */
    fun delayMillis(attempt: Int, random: Random): Long {
        require(attempt >= 1) { "attempts are counted from 1: $attempt" }
        val doublings = (attempt - 1).coerceAtMost(MAX_DOUBLINGS)
        val bound = (initial.inWholeMilliseconds shl doublings)
            .coerceIn(1, max.inWholeMilliseconds.coerceAtLeast(1))
        return bound - random.nextLong(bound / 2 + 1)
    }

    companion object {
        private val DEFAULT_INITIAL = 20.milliseconds
        private val DEFAULT_MAX = 2_000.milliseconds
        private const val MAX_DOUBLINGS = 20
    }
}
