/** A log of one event that may occur at any rate. */
package sycamoremast.daemon.log

import sycamoremast.coordination.MonotonicClock

/**
 * Logs occurrences of the event [name], at most one line a second.
 *
 * The `count` of a line includes the occurrences since the line before.
 */
class BoundedLog(
    private val log: EventLog,
    private val clock: MonotonicClock,
    private val name: String
) {
    private var count = 0L
    private var nextMillis = Long.MIN_VALUE

    /** Logs the event with [fields], unless the last line is too recent. */
    @Synchronized
    fun add(vararg fields: Pair<String, Any?>) {
        count++
        val now = clock.nowMillis()
        if (now < nextMillis) return
        log.add(name, fields.toList() + ("count" to count))
        count = 0
        nextMillis = now + MIN_INTERVAL_MILLIS
    }

    private companion object {
        const val MIN_INTERVAL_MILLIS = 1_000L
    }
}
