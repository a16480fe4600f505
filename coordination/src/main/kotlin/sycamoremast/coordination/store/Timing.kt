/** Time as components see it, replaceable in tests that keep their own. */
package sycamoremast.coordination.store

import kotlin.random.Random
import sycamoremast.coordination.MonotonicClock

/** The [clock], the waiting and the randomness of a component, replaced together in tests. */
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
        /** Returns a pause that sleeps. */
        fun system(): Pause = Pause { millis -> if (millis > 0) Thread.sleep(millis) }
    }
}
