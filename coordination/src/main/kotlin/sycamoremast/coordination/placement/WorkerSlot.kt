/** A worker's capacity as placement sees it. */
package sycamoremast.coordination.placement

import sycamoremast.coordination.Resources

/** A worker's [capacity] and what is committed of it, whatever its tasks really use. */
class WorkerSlot(val name: String) {
    var rack = ""
    var capacity = Resources.NONE

    /** Whether new tasks may be placed here. */
    var isOpen = false

    /** Until when no task is placed here, after a start that failed. */
    var pausedUntilMillis = Long.MIN_VALUE

    /** Until when only urgent tasks are placed here. */
    var reservedUntilMillis = Long.MIN_VALUE

    var committed = Resources.NONE
        private set

    /** Returns whether [need] fits beside what is committed. */
    fun fits(need: Resources) = (committed + need).fitsIn(capacity)

    /** Commits [amount]. */
    fun commit(amount: Resources) {
        committed += amount
    }

    /** Gives [amount] back, which was committed. */
    fun release(amount: Resources) {
        require(amount.fitsIn(committed)) { "$amount was not committed on $name: $committed" }
        committed = committed.minusFloored(amount)
    }
}
