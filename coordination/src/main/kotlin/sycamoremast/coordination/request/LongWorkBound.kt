/**
 * Keeps slots free of long work, so that short work finds one soon.
 *
 * A request is long if it is expected to run many times longer than the shortest kind of request in
 * recent use. The slots kept free follow the recent peak of the slots that short work asked for.
 */
package sycamoremast.coordination.request

import kotlin.math.ceil
import kotlin.math.exp

/** Tells long requests from short ones and bounds the slots that long ones may hold. */
class LongWorkBound {
    private val lastSeenMillis = linkedMapOf<RunTimeKey, Seen>()
    private var peak = 0.0
    private var peakAtMillis = 0.0

    /** Returns whether a request of [key] that is expected to run [expectedMillis] is long. */
    fun isLong(key: RunTimeKey, expectedMillis: Double, nowMillis: Double): Boolean {
        lastSeenMillis.values.removeIf { it.atMillis < nowMillis - RECENT_MILLIS }
        lastSeenMillis[key] = Seen(nowMillis, expectedMillis)
        val shortest = lastSeenMillis.values.minOf { it.expectedMillis }
        return expectedMillis > maxOf(LONG_FACTOR * shortest, MIN_LONG_MILLIS)
    }

    /** Takes into account that short work holds or waits for [slots]. */
    fun shortDemand(slots: Int, nowMillis: Double) {
        peak = maxOf(decayedPeak(nowMillis), slots.toDouble())
        peakAtMillis = nowMillis
    }

    /** Returns how many of [slots] long work may hold; at least one, so that it never starves. */
    fun longLimit(slots: Int, nowMillis: Double): Int {
        val wanted = ceil(decayedPeak(nowMillis) * HEADROOM).toInt()
        val reserve = wanted.coerceIn(
            ceil(slots * MIN_RESERVE).toInt(),
            ceil(slots * MAX_RESERVE).toInt()
        )
        return (slots - reserve).coerceAtLeast(1)
    }

    private fun decayedPeak(nowMillis: Double) =
        peak * exp((peakAtMillis - nowMillis) / PEAK_DECAY_MILLIS)

    private data class Seen(val atMillis: Double, val expectedMillis: Double)

    private companion object {
        const val LONG_FACTOR = 8.0
        const val MIN_LONG_MILLIS = 20.0
        const val RECENT_MILLIS = 60_000.0
        const val PEAK_DECAY_MILLIS = 30_000.0
        const val HEADROOM = 1.25
        const val MIN_RESERVE = 0.125
        const val MAX_RESERVE = 0.75
    }
}
