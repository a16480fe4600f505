/** A bound on how many tasks are evicted in a period. */
package sycamoremast.coordination.placement

/** Allows [most] evictions in any [periodMillis]. */
class EvictionBudget(private val most: Int, private val periodMillis: Long) {
    private val takenMillis = ArrayDeque<Long>()

    /** Takes [count] evictions at [nowMillis]; returns false, taking none, if that is too many. */
    fun take(count: Int, nowMillis: Long): Boolean {
        while (takenMillis.isNotEmpty() && takenMillis.first() <= nowMillis - periodMillis) {
            takenMillis.removeFirst()
        }
        if (takenMillis.size + count > most) return false
        repeat(count) { takenMillis.addLast(nowMillis) }
        return true
    }
}
