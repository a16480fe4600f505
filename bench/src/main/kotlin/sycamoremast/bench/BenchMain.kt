/** The command line of the bench tool, with one subcommand per experiment. */
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
import org.tinylog.kotlin.Logger
import sycamoremast.bench.capacity.CapacityExperiment
import sycamoremast.bench.control.ControlCalls
import sycamoremast.bench.request.AddedLatency
import sycamoremast.bench.request.Overload
import sycamoremast.bench.request.RollingRestart
import sycamoremast.bench.request.ShortBehindLong
import sycamoremast.bench.request.SlowInstance

/** All experiments, in the order in which the help text lists them. */
internal val experiments: List<Experiment> = listOf(
    CapacityExperiment,
    ControlCalls,
    ShortBehindLong,
    Overload,
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

/** Runs the experiment named by [args], then exits even if non-daemon threads are still running. */
fun main(args: Array<String>) {
    System.setProperty("java.awt.headless", "true")
    val exitCode = try {
        BenchCommand().subcommands(experiments.map(::ExperimentCommand)).main(args)
        0
    } catch (e: RuntimeException) {
        Logger.error(e, "event=experiment-failed")
        EXIT_FAILED
    }
    exitProcess(exitCode)
}

private const val DEFAULT_SEED = 1L
private const val EXIT_FAILED = 1
