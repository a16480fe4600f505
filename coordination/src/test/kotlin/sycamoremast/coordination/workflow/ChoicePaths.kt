/**
 * Enumerates all sequences of choices of a program that is run anew for each of them.
 *
 * The choices of a run decide which others it meets, so the sequences form a tree.
 */
package sycamoremast.coordination.workflow

internal class ChoicePaths {
    private val taken = ArrayList<Int>()
    private val options = ArrayList<Int>()
    private var depth = 0

    /** The choices of the present run so far. */
    val path: List<Int> get() = taken.toList()

    /** Returns the next choice of the present run, from 0 to [count] - 1. */
    fun choose(count: Int): Int {
        if (depth == taken.size) {
            taken += 0
            options += count
        }
        check(options[depth] == count) { "another run met other choices at $depth in $taken" }
        return taken[depth++]
    }

    /** Goes on to the next sequence; returns false if all have been run. */
    fun advance(): Boolean {
        depth = 0
        while (taken.isNotEmpty() && taken.last() == options.last() - 1) {
            taken.removeAt(taken.lastIndex)
            options.removeAt(options.lastIndex)
        }
        if (taken.isEmpty()) return false
        taken[taken.lastIndex]++
        return true
    }
}
