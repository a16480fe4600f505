/** A queue that drops its oldest element when it is full. */
package sycamoremast.daemon.control

/** Holds up to [capacity] elements and calls [onDropped] for each dropped one; thread-safe. */
internal class BoundedQueue<T>(private val capacity: Int, private val onDropped: () -> Unit) {
    private val elements = ArrayDeque<T>()

    @Synchronized
    fun add(element: T) {
        elements.addLast(element)
        dropExcess()
    }

    /** Puts [taken] back at the front, ahead of all other elements. */
    @Synchronized
    fun putBack(taken: List<T>) {
        elements.addAll(0, taken)
        dropExcess()
    }

    /** Removes and returns up to [count] elements, oldest first. */
    @Synchronized
    fun take(count: Int): List<T> = List(minOf(count, elements.size)) { elements.removeFirst() }

    @Synchronized
    fun size(): Int = elements.size

    private fun dropExcess() {
        while (elements.size > capacity) {
            elements.removeFirst()
            onDropped()
        }
    }
}
