/** The command-line tool of the operators. */
package sycamoremast.cli

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.terminal.Terminal
import kotlin.system.exitProcess

/** Runs the tool; see [ExitCode] for how it ends. */
fun main(args: Array<String>) {
    val terminal = Terminal(ansiLevel = AnsiLevel.NONE, interactive = false)
    exitProcess(runSycamore(args.toList(), terminal))
}
