/** The clock for leases and deadlines, which changes of the wall clock must not affect. */
package sycamoremast.coordination

/** A clock that never goes backwards; its origin is arbitrary. */
fun interface MonotonicClock {
    /** Returns the milliseconds since this clock's origin. */
    fun nowMillis(): Long

    companion object {
        private const val NANOS_PER_MILLI = 1_000_000L

        /** Returns the monotonic clock of this process. */
        fun system(): MonotonicClock = MonotonicClock { System.nanoTime() / NANOS_PER_MILLI }
    }
}
