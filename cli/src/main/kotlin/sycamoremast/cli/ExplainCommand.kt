/**
 * The history of one request or workflow, put together from hosts' logs.
 *
 * Lines are those of the daemons: an ISO time somewhere before `event=name`, then `key=value` fields.
 * A line belongs to an ID if its `id` is the ID itself or the name of one of its tasks.
 */
package sycamoremast.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.file

/** A log line with its [time], or an empty one where it has none. */
internal data class LogLine(val time: String, val event: String, val text: String)

/** Finds and orders the lines of one ID, and names the one that decided the outcome. */
internal class History(id: String, lines: Sequence<String>) {
    private val ofId = Regex("""\bid="?${Regex.escape(id)}(\.[0-9.]+)?"?(\s|$)""")

    /** The lines in order of their time. */
    val lines: List<LogLine> =
        lines.filter(ofId::containsMatchIn).map(::parse).sortedBy { it.time }.toList()

    /** The line that decided the outcome, or null if there is none yet. */
    val deciding: LogLine? = DECIDING.firstNotNullOfOrNull { event ->
        this.lines.lastOrNull { event.matches(it) }
    }

    private fun parse(text: String) = LogLine(
        TIME.find(text)?.value.orEmpty(),
        EVENT.find(text)?.groupValues?.get(1).orEmpty(),
        text
    )

    private class Decides(val event: String, val part: String = "") {
        fun matches(line: LogLine) = line.event == event && part in line.text
    }

    private companion object {
        val TIME = Regex("""\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?""")
        val EVENT = Regex("""event=([\w-]+)""")

        /** The most telling events first. */
        val DECIDING = listOf(
            Decides("workflow-failed"),
            Decides("workflow-ended", "CANCELLED"),
            Decides("run-stop", "no progress"),
            Decides("run-vanished"),
            Decides("start-unanswered"),
            Decides("job-submitted", "Refused"),
            Decides("job-submitted", "Unknown"),
            Decides("run-ended", "how=LAPSED"),
            Decides("run-ended", "how=FAILED"),
            Decides("run-stop"),
            Decides("workflow-ended")
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
