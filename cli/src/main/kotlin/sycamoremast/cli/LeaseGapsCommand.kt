/** Prints where leases of workers that restarted were booked too short, from hosts' logs. */
package sycamoremast.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import kotlin.time.Duration
import kotlin.time.DurationUnit

internal class LeaseGapsCommand : CliktCommand(name = "lease-gaps") {
    private val longestLease by option(
        "--longest-lease",
        metavar = "duration",
        help = "The longest lease that workers accept, with its unit, such as 10s or 6000ms"
    ).convert { text ->
        Duration.parseOrNull(text)?.takeIf { it.isPositive() && it.isFinite() }
            ?: fail("not a duration with its unit: $text")
    }.required()
    private val shortest by option("--shortest", help = "Number of other gaps to list").int()
        .default(DEFAULT_SHORTEST)
    private val files by argument(help = "log files; standard input, if none is named")
        .file(mustExist = true, canBeDir = false).multiple()

    override fun help(context: Context) =
        "Prints how long after the lease of its run before a task was started on another worker. " +
            "A negative gap means that the lease was booked too short; the exit code is 1 then."

    override fun run() {
        val lines = if (files.isEmpty()) {
            generateSequence(::readlnOrNull)
        } else {
            files.asSequence().flatMap { it.readLines() }
        }
        val play = Play.parse(lines)
        if (play.events.isEmpty()) {
            echo("no line is a log line", err = true)
            throw ProgramResult(ExitCode.INVALID.code)
        }
        val gaps = LeaseGaps(play.events, longestLease.toDouble(DurationUnit.SECONDS))
        echo(LeaseGapReport(gaps).text(shortest))
        if (gaps.all.any { it.isNegative }) throw ProgramResult(ExitCode.FAILED.code)
    }

    private companion object {
        const val DEFAULT_SHORTEST = 10
    }
}

/** A table of [gaps] with a summary. */
internal class LeaseGapReport(private val gaps: LeaseGaps) {
    /** Returns the negative gaps and the [count] shortest ones of the others. */
    fun text(count: Int): String {
        val (negative, others) = gaps.all.partition { it.isNegative }
        val rows = (negative + others.take(count)).map(::row)
        val summary = "${gaps.startCount} starts, ${gaps.presumingCount} after a run on another " +
            "worker whose end was presumed, ${gaps.all.size} of them after a lease that late " +
            "starts may have left, ${negative.size} before its end"
        return if (rows.isEmpty()) summary else table(HEADER, rows) + "\n\n" + summary
    }

    private fun row(gap: LeaseGap): List<Any?> = listOf(
        gap.task,
        gap.runBefore,
        gap.workerBefore,
        gap.lateStarts,
        formatSeconds(gap.leaseEndSeconds),
        gap.run,
        gap.worker,
        formatSeconds(gap.startSeconds),
        formatSeconds(gap.seconds),
        if (gap.isNegative) "booked too short" else ""
    )

    private companion object {
        val HEADER = listOf(
            "task", "run before", "on", "late starts", "lease until", "run", "on", "from", "gap", ""
        )
    }
}
