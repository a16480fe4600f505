/**
 * Assembles the history of one request or workflow from hosts' logs.
 *
 * A line belongs to an ID if its `id` field is that ID or the name of one of its tasks.
 */
package sycamoremast.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.file

/** The log lines of one ID in order of time, and the one that decided the outcome. */
internal class History(id: String, lines: Sequence<String>) {
    private val idPattern = Regex("""\bid="?${Regex.escape(id)}(\.[0-9.]+)?"?(\s|$)""")

    /** The lines of the ID in order of time. */
    val lines: List<LogLine> =
        lines.filter(idPattern::containsMatchIn).map(LogLine::parse).sortedBy { it.time }.toList()

    /** The line that decided the outcome, or null if no line did. */
    val deciding: LogLine? = failureOrNull() ?: DECIDING_PATTERNS.firstNotNullOfOrNull { pattern ->
        this.lines.lastOrNull { pattern.matches(it) }
    }

    /**
     * Returns why the workflow failed, or null if no line shows that it did.
     *
     * A new owner logs that it knows a workflow only if no end of it was recorded.
     */
    private fun failureOrNull(): LogLine? {
        val termLines = lines.takeLastWhile { it.event != "workflow-known" }
        val end = termLines.lastOrNull { it.event == "workflow-ended" }
        if (end != null && "phase=FAILED" !in end.text) return null
        return termLines.lastOrNull { it.event == "workflow-failed" }
    }

    private class LinePattern(val event: String, val substring: String = "") {
        fun matches(line: LogLine) = line.event == event && substring in line.text
    }

    private companion object {
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

internal class ExplainCommand : CliktCommand(name = "explain") {
    private val id by argument(help = "the ID of a request or workflow")
    private val files by argument(help = "log files; standard input, if none is named")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun help(context: Context) =
        "Prints the history of one ID from hosts' logs, its deciding line marked with >."

    override fun run() {
        val lines = if (files.isEmpty()) {
            generateSequence(::readlnOrNull)
        } else {
            files.asSequence().flatMap { it.readLines() }
        }
        val history = History(id, lines)
        if (history.lines.isEmpty()) {
            echo("no line names $id", err = true)
            throw ProgramResult(ExitCode.INVALID.code)
        }
        history.lines.forEach { echo((if (it === history.deciding) "> " else "  ") + it.text) }
    }
}
