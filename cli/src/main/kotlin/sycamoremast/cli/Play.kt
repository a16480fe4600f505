/**
 * The events and the disruptions of a period that hosts' logs cover.
 *
 * The logs may be those of the processes, or a play's output, in which a time in seconds from the
 * start of traffic and the host come before each line, and a list of disruptions after the last.
 */
package sycamoremast.cli

import java.time.LocalDateTime
import java.time.ZoneOffset
import java.time.format.DateTimeParseException

/** An event that [host] logged at [seconds], which is a time of a play if it [isPlayed]. */
internal data class HostEvent(
    val seconds: Double,
    val host: String,
    val line: LogLine,
    val isPlayed: Boolean
) {
    val name: String get() = line.event
    val id: String get() = line.field("id")
    val run: Int get() = line.field("run").toIntOrNull() ?: 0
    val worker: String get() = line.field("worker")
}

/** A disruption from [from] to [to], in seconds. */
internal data class Disruption(val from: Double, val to: Double, val kind: String)

/** [events] in order of time, and [disruptions]. */
internal class Play(val events: List<HostEvent>, private val disruptions: List<Disruption>) {
    /** The time of the last event. */
    val endSeconds: Double = events.maxOfOrNull { it.seconds } ?: 0.0

    /** Returns the longest stretch without a disruption between [from] and [to], in seconds. */
    fun calmSeconds(from: Double, to: Double): Double {
        var calmFrom = from
        var longest = 0.0
        for (disruption in disruptions.sortedBy { it.from }) {
            if (disruption.to <= calmFrom) continue
            if (disruption.from >= to) break
            longest = maxOf(longest, disruption.from - calmFrom)
            calmFrom = disruption.to
        }
        return maxOf(longest, to - calmFrom)
    }

    /** Returns the end of the last disruption that began before [seconds], or null. */
    fun lastDisruptionOrNull(seconds: Double): Disruption? =
        disruptions.filter { it.from < seconds }.maxByOrNull { it.to }

    companion object {
        private val PREFIX = Regex("""^\s*(-?\d+\.\d+)\s+(\S+)\s+\d{4}-""")
        private val HOST = Regex("""^\s*(\S+)\s+\d{4}-""")
        private val DISRUPTION = Regex("""^\s*(-?[\d.]+) s to\s+([\d.]+) s\s+(\S+)""")
        private const val START_EVENT = "host-start"
        private const val NANOS_PER_SECOND = 1e9

        /**
         * Returns the period that [lines] show. The start of a process is a disruption, those of
         * [calmKinds] are none.
         */
        fun parse(lines: Sequence<String>, calmKinds: Set<String> = emptySet()): Play {
            val events = ArrayList<HostEvent>()
            val disruptions = ArrayList<Disruption>()
            for (text in lines) {
                val event = eventOrNull(text)
                if (event == null) {
                    DISRUPTION.find(text)?.destructured?.let { (from, to, kind) ->
                        disruptions += Disruption(from.toDouble(), to.toDouble(), kind)
                    }
                } else {
                    events += event
                    if (event.name == START_EVENT) {
                        disruptions += Disruption(event.seconds, event.seconds, START_EVENT)
                    }
                }
            }
            // In a play's output, a line that was cut short has no time of the play.
            val isOutput = events.any { it.isPlayed }
            return Play(
                events.filter { it.isPlayed == isOutput }.sortedBy { it.seconds },
                disruptions.filter { it.kind !in calmKinds }
            )
        }

        private fun eventOrNull(text: String): HostEvent? {
            val line = LogLine.parse(text)
            if (line.event.isEmpty() || line.time.isEmpty()) return null
            val prefix = PREFIX.find(text)?.destructured
            if (prefix != null) {
                val (seconds, host) = prefix
                return HostEvent(seconds.toDouble(), host, line, isPlayed = true)
            }
            val seconds = secondsOrNull(line.time) ?: return null
            val host = HOST.find(text)?.groupValues?.get(1).orEmpty()
            return HostEvent(seconds, host, line, isPlayed = false)
        }

        private fun secondsOrNull(time: String): Double? = try {
            val parsed = LocalDateTime.parse(time)
            parsed.toEpochSecond(ZoneOffset.UTC) + parsed.nano / NANOS_PER_SECOND
        } catch (_: DateTimeParseException) {
            null
        }
    }
}
