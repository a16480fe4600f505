/**
 * A log of structured events that never blocks the logging thread.
 *
 * Lines wait in a bounded queue for one writer thread. While the queue is full, lines are dropped
 * and counted by event, and the counts are logged after the next line that is written.
 */
package sycamoremast.daemon.log

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicLong
import org.tinylog.kotlin.Logger

/** Writes lines with [write] on a thread of its own; at most [capacity] lines wait. */
class EventLog(capacity: Int = DEFAULT_CAPACITY, private val write: (String) -> Unit = ::toLog) :
    AutoCloseable {
    private val lines = ArrayBlockingQueue<String>(capacity)
    private val droppedCounts = ConcurrentHashMap<String, AtomicLong>()

    @Volatile
    private var isOpen = true
    private val thread = Thread(::run, "event-log").apply {
        isDaemon = true
        start()
    }

    /** Logs the event [name] with [fields], or drops and counts it if the queue is full. */
    fun add(name: String, vararg fields: Pair<String, Any?>) = add(name, fields.toList())

    /** Logs the event [name] with [fields], or drops and counts it if the queue is full. */
    fun add(name: String, fields: List<Pair<String, Any?>>) {
        if (lines.offer(LogEvent(name, fields).toString())) return
        droppedCounts.computeIfAbsent(name) { AtomicLong() }.incrementAndGet()
    }

    private fun run() {
        while (isOpen || lines.isNotEmpty()) {
            val line = lines.poll(POLL_MILLIS, MILLISECONDS) ?: continue
            write(line)
            reportDropped()
        }
    }

    private fun reportDropped() {
        if (droppedCounts.isEmpty()) return
        for (name in droppedCounts.keys.toList()) {
            val count = droppedCounts.remove(name) ?: continue
            write(event("left-out", "kind" to name, "count" to count.get()))
        }
    }

    /** Writes the waiting lines, for a bounded time. */
    override fun close() {
        isOpen = false
        thread.join(CLOSE_TIMEOUT_MILLIS)
    }

    private companion object {
        /** Covers several seconds of the busiest host's lines, of about 200 bytes each. */
        const val DEFAULT_CAPACITY = 4_096
        const val POLL_MILLIS = 200L
        const val CLOSE_TIMEOUT_MILLIS = 500L
    }
}

private fun toLog(line: String) = Logger.info(line)
