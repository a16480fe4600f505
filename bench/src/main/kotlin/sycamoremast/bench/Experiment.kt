/** What the bench runs, and what comes out of it. */
package sycamoremast.bench

/** A named experiment; a run with the same seed offers the same load. */
interface Experiment {
    /** The name by which it is run. */
    val name: String

    /** One line that says what it measures, against which baseline. */
    val summary: String

    /** Returns what was measured in a run with [seed]. */
    fun run(seed: Long): ExperimentResult
}

/** The tables and plots of one run; each baseline is a row or series beside what it bounds. */
data class ExperimentResult(
    val tables: List<ResultTable>,
    val plots: List<ResultPlot> = emptyList(),
    val latencies: List<NamedLatency> = emptyList()
)
