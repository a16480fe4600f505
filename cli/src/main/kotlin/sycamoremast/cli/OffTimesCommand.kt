/** Prints for how long long-running tasks were without a run, from hosts' logs. */
package sycamoremast.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int

internal class OffTimesCommand : CliktCommand(name = "off-times") {
    private val calmKinds by option(
        "--calm",
        metavar = "kind",
        help = "A kind of listed disruption that is none; repeat it to name others"
    ).multiple()
    private val longest by option("--longest", help = "Number of longest times to list").int()
        .default(DEFAULT_LONGEST)
    private val isBrief by option("--brief", help = "List the longest times only").flag()
    private val isByHold by option(
        "--by-hold",
        help = "Tell which parts held the tasks back, and for how long at most"
    ).flag()
    private val files by argument(help = "log files; standard input, if none is named")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun help(context: Context) =
        "Prints when long-running tasks were without a run, why, and for how long."

    override fun run() {
        val lines = if (files.isEmpty()) {
            generateSequence(::readlnOrNull)
        } else {
            files.asSequence().flatMap { it.readLines() }
        }
        val play = Play.parse(lines, calmKinds.toSet())
        if (play.events.isEmpty()) {
            echo("no line is a log line", err = true)
            throw ProgramResult(ExitCode.INVALID.code)
        }
        val offTimes = OffTimes(play).all
        if (isByHold) {
            val report = HoldReport(play, offTimes)
            echo(report.sums() + "\n")
            echo(report.longest(longest))
            return
        }
        val report = OffTimeReport(play, offTimes)
        if (!isBrief) echo(report.list() + "\n")
        echo(report.distribution() + "\n")
        echo(report.longest(longest))
    }

    private companion object {
        const val DEFAULT_LONGEST = 10
    }
}
