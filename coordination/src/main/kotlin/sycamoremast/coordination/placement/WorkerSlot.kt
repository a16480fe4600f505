/** Tracks the capacity of a worker that is committed to tasks. */
package sycamoremast.coordination.placement

import sycamoremast.coordination.Resources

/** A worker's [capacity] and the part [committed] to tasks, whatever they actually use. */
class WorkerSlot(val name: String) {
    var rack = ""
    var capacity = Resources.NONE

    /** Whether new tasks may be placed here. */
    var isOpen = false

    /** The time until which no task is placed here, after a failed start. */
    var pausedUntilMillis = Long.MIN_VALUE

    /** The time until which only urgent tasks are placed here. */
    var reservedUntilMillis = Long.MIN_VALUE

    var committed = Resources.NONE
        private set

    /** Returns whether [need] fits into the uncommitted capacity. */
    fun fits(need: Resources) = (committed + need).fitsIn(capacity)

    /** Commits [amount] to a task. */
    fun commit(amount: Resources) {
        committed += amount
    }

    /** Releases [amount], which must have been committed. */
    fun release(amount: Resources) {
        require(amount.fitsIn(committed)) {
            "cannot release $amount on $name: only $committed is committed"
        }
        committed = committed.minusFloored(amount)
    }
}
