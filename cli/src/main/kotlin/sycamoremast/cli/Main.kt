/** The entry point of the operators' command-line tool. */
package sycamoremast.cli

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.terminal.Terminal
import kotlin.system.exitProcess

/** Runs the tool and exits with an [ExitCode]. */
fun main(args: Array<String>) {
    val terminal = Terminal(ansiLevel = AnsiLevel.NONE, interactive = false)
    exitProcess(runSycamore(args.toList(), terminal))
}
