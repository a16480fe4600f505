/** The command line of the daemon. */
package sycamoremast.daemon

import arrow.core.NonEmptyList
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import java.io.IOException
import kotlin.system.exitProcess
import org.tinylog.kotlin.Logger
import sycamoremast.configuration.ini.IniError
import sycamoremast.daemon.log.event
import sycamoremast.daemon.settings.DaemonSettings

private const val EXIT_FAILED = 1
private const val EXIT_BAD_SETTINGS = 2

/** Validates all settings, then runs the daemon until a signal or an operator stops it. */
internal class DaemonCommand : CliktCommand(name = "sycamored") {
    private val settingsFile by option("--settings", help = "the settings, an INI file")
        .file(mustExist = true, canBeDir = false, mustBeReadable = true)
        .required()
    private val checkOnly by option("--check", help = "check the settings and exit").flag()

    override fun help(context: Context) = "Runs the daemon of one entry host."

    override fun run() {
        val settings = DaemonSettings.parse(settingsFile.path, settingsFile.readText())
            .fold(::rejectSettings) { it }
        if (checkOnly) {
            echo("${settingsFile.path}: no errors")
            return
        }
        serve(settings)
    }

    private fun rejectSettings(errors: NonEmptyList<IniError>): Nothing {
        errors.forEach { echo(it.render(), err = true) }
        throw ProgramResult(EXIT_BAD_SETTINGS)
    }

    private fun serve(settings: DaemonSettings) {
        val host = try {
            EntryHost.start(settings)
        } catch (e: IOException) {
            Logger.error { event("start-failed", "step" to "bind", "reason" to e.message) }
            throw ProgramResult(EXIT_FAILED)
        }
        Runtime.getRuntime().addShutdownHook(Thread { stopAndExit(host) })
        host.awaitDrainRequest()
        exitProcess(0)
    }

    /** Shuts down gracefully, then exits with status 0 without waiting for other shutdown hooks. */
    private fun stopAndExit(host: EntryHost) {
        host.stop()
        Runtime.getRuntime().halt(0)
    }
}
