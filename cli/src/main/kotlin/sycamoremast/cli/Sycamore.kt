/** The root command and the base class of its subcommands. */
package sycamoremast.cli

import arrow.core.Either
import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.mordant.terminal.Terminal
import kotlinx.serialization.KSerializer
import sycamoremast.configuration.Endpoint

/** Runs the tool with [args], writes its output to [terminal] and returns the exit code. */
internal fun runSycamore(args: List<String>, terminal: Terminal): Int {
    val command = sycamoreCommand(terminal)
    return try {
        command.parse(args)
        ExitCode.OK.code
    } catch (e: UsageError) {
        command.echoFormattedHelp(e)
        ExitCode.INVALID.code
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        e.statusCode
    }
}

private fun sycamoreCommand(terminal: Terminal) = Sycamore()
    .context { this.terminal = terminal }
    .subcommands(
        SubmitCommand(),
        DiffCommand(),
        StatusCommand(),
        JobsCommand(),
        JobCommand().subcommands(CancelCommand()),
        DrainCommand(),
        ProblemsCommand(),
        AuditCommand(),
        ExplainCommand(),
        OffTimesCommand(),
        LeaseGapsCommand(),
        CompletionCommand(name = "completion")
    )

/** The global options and the client, shared by all subcommands. */
internal data class Session(val daemons: List<Endpoint>, val operator: String, val json: Boolean) {
    val client = DaemonClient(daemons, operator, ::httpClient)
}

private class Sycamore : CliktCommand(name = "sycamore") {
    private val daemons by option(
        "--daemon",
        metavar = "ip:port",
        envvar = "SYCAMORE_DAEMON",
        help = "Operator address of a daemon; repeat it to name others to turn to"
    ).convert { Endpoint.parseOrNull(it) ?: fail("not an IP number with a port: $it") }
        .multiple()

    private val json by option("--json", help = "Write JSON").flag()

    private val operator by option(
        "--operator",
        envvar = "SYCAMORE_OPERATOR",
        help = "Who makes the change, for the audit trail"
    ).default(System.getProperty("user.name").orEmpty(), defaultForHelp = "the user's name")

    override fun help(context: Context) =
        "Submits configurations and asks daemons how things stand. " + ExitCode.table()

    override fun run() {
        currentContext.obj = Session(daemons, operator, json)
    }
}

/** A subcommand that calls a daemon; [summary] is its help text. */
internal abstract class DaemonCommand(name: String, private val summary: String) :
    CliktCommand(name) {
    protected val session by requireObject<Session>()

    override fun help(context: Context) = summary

    override fun run() {
        if (session.daemons.isEmpty()) throw UsageError("name a daemon with --daemon ip:port")
        call()
    }

    protected abstract fun call()

    /** Returns the value, or exits with the messages and the exit code of the error. */
    protected fun <T> Either<CallError, T>.orExit(): T = when (this) {
        is Either.Left -> exit(value.exitCode(), value.messages())
        is Either.Right -> value
    }

    /** Writes [messages] to standard error and exits with [code]. */
    protected fun exit(code: ExitCode, messages: List<String>): Nothing {
        if (session.json) {
            val kind = code.name.lowercase().replace('_', '-')
            val view = FailureView(code.code, kind, messages)
            echo(JSON.encodeToString(FailureView.serializer(), view), err = true)
        } else {
            messages.forEach { echo(it, err = true) }
        }
        throw ProgramResult(code.code)
    }

    /** Writes [value] as JSON if `--json` is given, otherwise [text]. */
    protected fun <T> write(value: T, type: KSerializer<T>, text: () -> String) {
        echo(if (session.json) JSON.encodeToString(type, value) else text())
    }
}
