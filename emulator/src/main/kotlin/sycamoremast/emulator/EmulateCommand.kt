/** The emulator's command: `emulate --pattern NAME --seeds N`. */
package sycamoremast.emulator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int

/** Plays patterns and prints what became of each queue. */
internal class EmulateCommand : CliktCommand(name = "emulate") {
    private val names by option("--pattern", help = "a pattern to play; all, if none is named")
        .choice(*Pattern.all.map { it.name }.toTypedArray()).multiple()
    private val seeds by option("--seeds", help = "how many seeds, from 1 on").int().default(1)

    override fun help(context: Context) = "Plays loads against the scheduler in virtual time."

    override fun run() {
        for (pattern in names.map(Pattern::named).ifEmpty { Pattern.all }) {
            for (seed in 1..seeds) {
                val emulation = Emulation(pattern, seed)
                val outcome = emulation.run()
                val share = "%.3f".format(outcome.servingShare)
                echo("${pattern.name} seed=$seed serving=$share $outcome")
                val micros = emulation.schedulerNanos / NANOS_PER_MICRO / outcome.starts
                val looks = outcome.examinedWorkers / outcome.starts
                echo("  a start costs the scheduler $micros us and $looks looks at workers")
                outcome.queues.forEach { (queue, o) -> echo("  $queue $o") }
            }
        }
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000
    }
}
