/** Time for leases and deadlines, which must never follow a change of the wall clock. */
package sycamoremast.coordination

/** A clock that never goes back; its origin is arbitrary. */
fun interface MonotonicClock {
    /** Returns the milliseconds since this clock's origin. */
    fun nowMillis(): Long

    companion object {
        private const val NANOS_PER_MILLI = 1_000_000L

        /** Returns the clock of this process. */
        fun system(): MonotonicClock = MonotonicClock { System.nanoTime() / NANOS_PER_MILLI }
    }
}
