/** The commands for a team's configuration: submit and diff. */
package sycamoremast.cli

import arrow.core.Either
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import java.nio.charset.MalformedInputException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.builtins.ListSerializer
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.configuration.operator.ConfirmationView
import sycamoremast.configuration.operator.SubmitView
import sycamoremast.configuration.parseDurationOrNull

/** A command that reads a configuration from a file. */
internal abstract class FileCommand(name: String, summary: String) : DaemonCommand(name, summary) {
    protected val file: Path by argument().path(mustExist = true, canBeDir = false)

    /** Returns the configuration in [file]; prints all errors and exits if it is invalid. */
    protected fun readConfiguration(): TeamConfiguration {
        val text = try {
            file.readText()
        } catch (_: MalformedInputException) {
            exit(ExitCode.INVALID, listOf("$file: the file is not UTF-8 text"))
        }
        return TeamConfiguration.parse("$file", text).fold(
            { errors -> exit(ExitCode.INVALID, errors.map { it.render() }) },
            { it }
        )
    }
}

internal class SubmitCommand :
    FileCommand("submit", "Submits a team's configuration, unless another change came first") {
    private val wait by option("--wait", help = "Wait until it is in force on every host").flag()

    private val timeout: Duration by option("--timeout", help = "How long to wait, such as 30s")
        .convert { parseDurationOrNull(it) ?: fail("not a duration such as 30s: $it") }
        .default(DEFAULT_WAIT)

    private val from by option("--from", help = "The revision that this change starts from").long()

    override fun call() {
        val configuration = readConfiguration()
        val base = from ?: session.client.document(configuration.team).orExit()?.revision ?: 0
        val accepted = submit(configuration, base)
        if (wait) {
            confirm(accepted)
        } else {
            write(accepted, SubmitView.serializer()) { describe(accepted) }
        }
    }

    private fun submit(configuration: TeamConfiguration, base: Long): SubmitView {
        val team = configuration.team
        val result = session.client.submit(team, configuration.toIni(), base)
        if (result is Either.Left && result.value is CallError.OutcomeUnknown) {
            return readBackSubmission(configuration, base) ?: result.orExit()
        }
        return result.orExit()
    }

    /** Returns the accepted revision if a submission without a response did take effect. */
    private fun readBackSubmission(configuration: TeamConfiguration, base: Long): SubmitView? {
        val document = session.client.document(configuration.team).getOrNull() ?: return null
        val isOurs = document.revision > base &&
            document.operator == session.operator &&
            TeamConfiguration.parseOrNull(document.text) == configuration
        return if (isOurs) SubmitView(document.team, document.revision) else null
    }

    private fun confirm(accepted: SubmitView) {
        val view = session.client.confirmations(accepted.team, accepted.revision, timeout)
            .fold({ exit(ExitCode.NOT_CONFIRMED, listOf(describe(accepted)) + it.messages()) }) {
                it
            }
        write(view, ConfirmationView.serializer()) {
            "${describe(accepted)}; in force on ${view.inForce.joinToString()}"
        }
        if (view.unconfirmed.isEmpty()) return
        val hosts = view.unconfirmed.joinToString()
        exit(ExitCode.NOT_CONFIRMED, listOf("${view.team}: not confirmed on $hosts"))
    }

    private fun describe(accepted: SubmitView): String {
        val verb = if (accepted.changed) "accepted as" else "unchanged at"
        return "${accepted.team}: $verb revision ${accepted.revision}"
    }

    private companion object {
        val DEFAULT_WAIT = 30.seconds
    }
}

internal class DiffCommand :
    FileCommand("diff", "Shows how a file differs from the accepted configuration") {
    override fun call() {
        val configuration = readConfiguration()
        val document = session.client.document(configuration.team).orExit()
        val differences = differences(document?.text.orEmpty(), configuration.toIni())
        write(differences, ListSerializer(Difference.serializer())) {
            val revision = document?.revision ?: 0
            val summary = if (differences.isEmpty()) "no difference from" else "changes to"
            val header = "${configuration.team}: $summary revision $revision"
            (listOf(header) + differences.map { it.render() }).joinToString("\n")
        }
    }
}
