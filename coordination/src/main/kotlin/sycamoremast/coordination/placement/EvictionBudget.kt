/** A sliding-window limit on the evictions of tasks. */
package sycamoremast.coordination.placement

/** Allows at most [maxEvictions] evictions within any period of [periodMillis]. */
class EvictionBudget(private val maxEvictions: Int, private val periodMillis: Long) {
    private val evictionTimes = ArrayDeque<Long>()

    /** Takes [count] evictions from the budget; returns false, taking none, if too few are left. */
    fun tryTake(count: Int, nowMillis: Long): Boolean {
        while (evictionTimes.isNotEmpty() && evictionTimes.first() <= nowMillis - periodMillis) {
            evictionTimes.removeFirst()
        }
        if (evictionTimes.size + count > maxEvictions) return false
        repeat(count) { evictionTimes.addLast(nowMillis) }
        return true
    }
}
