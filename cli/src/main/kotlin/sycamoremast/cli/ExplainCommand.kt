/** Prints the history of one request or workflow from hosts' logs. */
package sycamoremast.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.file

internal class ExplainCommand : CliktCommand(name = "explain") {
    private val id by argument(help = "the ID of a request or workflow")
    private val files by argument(help = "log files; standard input, if none is named")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun help(context: Context) =
        "Prints the history of one ID from hosts' logs, its deciding lines marked with >."

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
        for (line in history.lines) {
            val isMarked = history.marked.any { it === line }
            echo((if (isMarked) "> " else "  ") + line.text)
        }
    }
}
