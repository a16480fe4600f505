/** Sources of time and randomness, which tests replace. */
package sycamoremast.coordination.store

import kotlin.random.Random
import sycamoremast.coordination.MonotonicClock

/** The [clock], [pause] and [random] source of a component, replaced together in tests. */
data class Timing(
    val clock: MonotonicClock = MonotonicClock.system(),
    val pause: Pause = Pause.system(),
    val random: Random = Random.Default
)

/** Blocks the calling thread. */
fun interface Pause {
    /** Blocks for [millis]. */
    fun pause(millis: Long)

    companion object {
        /** Returns a pause that puts the thread to sleep. */
        fun system(): Pause = Pause { millis -> if (millis > 0) Thread.sleep(millis) }
    }
}
