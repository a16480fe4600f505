/** Delays between attempts that grow exponentially and are spread at random. */
package sycamoremast.coordination.store

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Delays that double from [first] up to [most]; each is drawn from its upper half. */
data class Backoff(val first: Duration = DEFAULT_FIRST, val most: Duration = DEFAULT_MOST) {
    init {
        require(first.isPositive() && most >= first) { "back-off must grow: $first to $most" }
    }

    /** Returns the milliseconds to wait before attempt number [attempt], counted from 1. */
    fun delayMillis(attempt: Int, random: Random): Long {
        require(attempt >= 1) { "attempts are counted from 1: $attempt" }
        val doublings = (attempt - 1).coerceAtMost(MAX_DOUBLINGS)
        val bound = (first.inWholeMilliseconds shl doublings)
            .coerceIn(1, most.inWholeMilliseconds.coerceAtLeast(1))
        return bound - random.nextLong(bound / 2 + 1)
    }

    companion object {
        private val DEFAULT_FIRST = 20.milliseconds
        private val DEFAULT_MOST = 2_000.milliseconds
        private const val MAX_DOUBLINGS = 20
    }
}
