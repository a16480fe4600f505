/**
 * Assembles the history of one request or workflow from hosts' logs.
 *
 * A line belongs to an ID if its `id` field is that ID or the name of one of its tasks.
 */
package sycamoremast.cli

/**
 * The log lines of one ID in order of time, and those that decided the outcome.
 *
 * The history of a task ends with its job.
 */
internal class History(id: String, lines: Sequence<String>) {
    private val idPattern = Regex("""\bid="?${Regex.escape(id)}(\.[0-9.]+)?"?(\s|$)""")
    private val jobPattern = Regex("""\bid="?${Regex.escape(jobOf(id))}"?(\s|$)""")

    /** The lines of the ID and those of its job and of workers that tell whether it goes on. */
    private val context =
        lines.filter { it.isOf(idPattern) || it.isOf(jobPattern) || it.isOf(REACHABLE_PATTERN) }
            .map(LogLine::parse).sortedBy { it.time }.toList()

    /** The lines of the ID in order of time. */
    val lines: List<LogLine> = context.filter { it.text.isOf(idPattern) }

    /**
     * The lines that decided the outcome: how the job failed or ended or, if it goes on, what holds
     * back each of its tasks that is off. If there is none of these, it is what befell a run.
     */
    val marked: List<LogLine> = failureOrNull()?.let(::listOf)
        ?: offTaskLines().ifEmpty { listOfNotNull(eventOrNull()) }

    /** The last line that decided the outcome, or null if no line did. */
    val deciding: LogLine? get() = marked.lastOrNull()

    /**
     * Returns why the workflow failed, or null if no line shows that it did.
     *
     * A new owner logs that it knows a workflow only if no end of it was recorded.
     */
    private fun failureOrNull(): LogLine? {
        val termLines = lines.sinceLastKnown()
        val end = termLines.lastOrNull { it.event == "workflow-ended" }
        if (end != null && "phase=FAILED" !in end.text) return null
        return termLines.lastOrNull { it.event == "workflow-failed" }
    }

    private fun offTaskLines(): List<LogLine> {
        val hasEnded = context.sinceLastKnown().any { it.event == "workflow-ended" }
        if (hasEnded) return emptyList()
        val off = OffTaskLines(context).all
        return off.filter { it.text.isOf(idPattern) }
    }

    private fun eventOrNull(): LogLine? = DECIDING_PATTERNS.firstNotNullOfOrNull { pattern ->
        lines.lastOrNull { pattern.matches(it) }
    }

    private fun List<LogLine>.sinceLastKnown() = takeLastWhile { it.event != "workflow-known" }

    private fun String.isOf(pattern: Regex) = pattern.containsMatchIn(this)

    private class LinePattern(val event: String, val substring: String = "") {
        fun matches(line: LogLine) = line.event == event && substring in line.text
    }

    private companion object {
        val REACHABLE_PATTERN = Regex("""\bevent=worker-reachable\s""")

        /** The events that decide any other outcome, in order of precedence. */
        val DECIDING_PATTERNS = listOf(
            LinePattern("workflow-ended", "CANCELLED"),
            LinePattern("run-stop", "no progress"),
            LinePattern("run-vanished"),
            LinePattern("start-unanswered"),
            LinePattern("job-submitted", "Refused"),
            LinePattern("job-submitted", "Unknown"),
            LinePattern("run-ended", "how=LAPSED"),
            LinePattern("run-ended", "how=FAILED"),
            LinePattern("run-stop"),
            LinePattern("workflow-ended")
        )
    }
}
