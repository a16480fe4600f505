/** A queue of events in virtual time, for simulations. */
package sycamoremast.coordination.workflow

import java.util.PriorityQueue

internal class VirtualTime {
    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var lastNumber = 0L
    var now = 0L
        private set

    /** Calls [action] at [millis], after the events that were added for the same time before. */
    fun at(millis: Long, action: () -> Unit) {
        events += Event(millis, ++lastNumber, action)
    }

    /** Plays the events until one has been played at [endMillis] or later, or none is left. */
    fun playUntil(endMillis: Long) {
        while (events.isNotEmpty() && now < endMillis) {
            val event = events.remove()
            now = event.atMillis
            event.action()
        }
    }
}
