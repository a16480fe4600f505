/** The bench's command line: one subcommand an experiment. */
package sycamoremast.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import java.nio.file.Path
import kotlin.system.exitProcess
import sycamoremast.bench.capacity.CapacityExperiment
import sycamoremast.bench.control.ControlCalls
import sycamoremast.bench.request.AddedLatency
import sycamoremast.bench.request.Crest
import sycamoremast.bench.request.RollingRestart
import sycamoremast.bench.request.ShortBehindLong
import sycamoremast.bench.request.SlowInstance

/** All experiments, in the order in which they are listed. */
internal val experiments: List<Experiment> = listOf(
    CapacityExperiment,
    ControlCalls,
    ShortBehindLong,
    Crest,
    SlowInstance,
    RollingRestart,
    AddedLatency
)

private class BenchCommand : CliktCommand(name = "bench") {
    override fun help(context: Context) = "Runs experiments and writes what they measured."

    override fun run() = Unit
}

private class ExperimentCommand(private val experiment: Experiment) :
    CliktCommand(name = experiment.name) {
    private val seed by option(help = "Seed of the load").long().default(DEFAULT_SEED)
    private val output by option(help = "Directory for CSV, PNG and percentile files")
        .default("target/bench")

    override fun help(context: Context) = experiment.summary

    override fun run() {
        val result = experiment.run(seed)
        ResultWriter(Path.of(output)).write(experiment, seed, result)
        result.tables.forEach { table ->
            echo("${table.name}:")
            echo(table.toText())
        }
    }
}

/** Runs the experiment that [args] name; ends the process, whatever threads are left. */
fun main(args: Array<String>) {
    System.setProperty("java.awt.headless", "true")
    BenchCommand().subcommands(experiments.map(::ExperimentCommand)).main(args)
    exitProcess(0)
}

private const val DEFAULT_SEED = 1L
