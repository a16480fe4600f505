/** The emulator's command line: `emulate --pattern NAME --seeds N`. */
package sycamoremast.emulator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int

/** Emulates load patterns and prints the outcome of each queue. */
internal class EmulateCommand : CliktCommand(name = "emulate") {
    private val patterns by option("--pattern", help = "a load pattern; all patterns by default")
        .choice(*LoadPattern.all.map { it.name }.toTypedArray()).multiple()
    private val seeds by option("--seeds", help = "number of runs, seeds 1 to N").int().default(1)

    override fun help(context: Context) = "Emulates the scheduler under load, in virtual time."

    override fun run() {
        for (pattern in patterns.map(LoadPattern::named).ifEmpty { LoadPattern.all }) {
            for (seed in 1..seeds) {
                val emulation = Emulation(pattern, seed)
                val outcome = emulation.run()
                val share = "%.3f".format(outcome.servingShare)
                echo("${pattern.name} seed=$seed serving=$share $outcome")
                val microsPerStart = emulation.schedulerNanos / NANOS_PER_MICRO / outcome.starts
                val examinedPerStart = outcome.examinedWorkers / outcome.starts
                echo("  per start: $microsPerStart us, $examinedPerStart workers examined")
                outcome.queues.forEach { (queue, result) -> echo("  $queue $result") }
            }
        }
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000
    }
}
