/** The interface of an experiment and the type of its results. */
package sycamoremast.bench

/** A named experiment. Runs with the same seed generate the same load. */
interface Experiment {
    /** The name of its subcommand. */
    val name: String

    /** One line for the help text: what is measured and against which baseline. */
    val summary: String

    /** Runs the experiment with [seed] and returns the measurements. */
    fun run(seed: Long): ExperimentResult
}

/**
 * The tables, plots and latency histograms of one run.
 *
 * A baseline is a row or series next to the one that is compared with it.
 */
data class ExperimentResult(
    val tables: List<ResultTable>,
    val plots: List<ResultPlot> = emptyList(),
    val latencies: List<NamedLatency> = emptyList()
)
