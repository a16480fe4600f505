/**
 * Log lines that never hold up the thread that writes them.
 *
 * Lines wait in a bounded queue for one writing thread. Where the queue is full, lines are counted by
 * event and left out, and the counts are logged once there is room.
 */
package sycamoremast.daemon.log

import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicLong
import org.tinylog.kotlin.Logger

/** Writes events with [write], on a thread of its own; [capacity] lines may wait. */
class EventLog(capacity: Int = DEFAULT_CAPACITY, private val write: (String) -> Unit = ::toLog) :
    AutoCloseable {
    private val lines = ArrayBlockingQueue<String>(capacity)
    private val leftOut = ConcurrentHashMap<String, AtomicLong>()

    @Volatile
    private var isOpen = true
    private val thread = Thread(::run, "event-log").apply {
        isDaemon = true
        start()
    }

    /** Logs the event [name] with [fields], or counts it if too many lines wait. */
    fun add(name: String, vararg fields: Pair<String, Any?>) = add(name, fields.toList())

    /** Logs the event [name] with [fields], or counts it if too many lines wait. */
    fun add(name: String, fields: List<Pair<String, Any?>>) {
        if (lines.offer(LogEvent(name, fields).toString())) return
        leftOut.computeIfAbsent(name) { AtomicLong() }.incrementAndGet()
    }

    private fun run() {
        while (isOpen || lines.isNotEmpty()) {
            val line = lines.poll(POLL_MILLIS, MILLISECONDS) ?: continue
            write(line)
            reportLeftOut()
        }
    }

    private fun reportLeftOut() {
        if (leftOut.isEmpty()) return
        for (name in leftOut.keys.toList()) {
            val count = leftOut.remove(name) ?: continue
            write(event("left-out", "kind" to name, "count" to count.get()))
        }
    }

    /** Writes the lines that wait, for a bounded time. */
    override fun close() {
        isOpen = false
        thread.join(CLOSE_MILLIS)
    }

    private companion object {
        /** Some seconds of the busiest host's lines, about 200 bytes each. */
        const val DEFAULT_CAPACITY = 4_096
        const val POLL_MILLIS = 200L
        const val CLOSE_MILLIS = 500L
    }
}

private fun toLog(line: String) = Logger.info(line)
