/** Writes the result of a run as CSV, PNG and percentile files. */
package sycamoremast.bench

import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.time.temporal.ChronoUnit

/** Writes results to [directory]. Each CSV starts with comments on command, seed and machine. */
class ResultWriter(private val directory: Path) {
    /** Writes the [result] of a run of [experiment] with [seed]. */
    fun write(experiment: Experiment, seed: Long, result: ExperimentResult) {
        Files.createDirectories(directory)
        val headerComments = headerComments(experiment, seed)
        result.tables.forEach { table ->
            Files.writeString(directory.resolve("${table.name}.csv"), table.toCsv(headerComments))
        }
        result.plots.forEach { it.writeTo(directory) }
        result.latencies.forEach(::writeHistogram)
    }

    private fun headerComments(experiment: Experiment, seed: Long): List<String> {
        val runtime = Runtime.getRuntime()
        val now = Instant.now().truncatedTo(ChronoUnit.SECONDS)
        return listOf(
            "command: bin/bench ${experiment.name} --seed=$seed",
            "measured: $now, ${runtime.availableProcessors()} processors, " +
                "Java ${System.getProperty("java.version")}, " +
                "heap limit ${runtime.maxMemory() / BYTES_PER_MIB} MiB, machine shared with builds"
        )
    }

    private fun writeHistogram(latency: NamedLatency) {
        val file = directory.resolve("${latency.name}.hgrm")
        PrintStream(Files.newOutputStream(file)).use {
            latency.histogram.outputPercentileDistribution(it, MICROS_PER_MILLI)
        }
    }

    companion object {
        private const val BYTES_PER_MIB = 1024 * 1024
    }
}
