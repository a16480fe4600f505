/** Measures how the state, messages, CPU time and memory of each role grow with its size. */
package sycamoremast.bench.capacity

import sycamoremast.bench.Experiment
import sycamoremast.bench.ExperimentResult
import sycamoremast.bench.ResultPlot
import sycamoremast.bench.ResultTable
import sycamoremast.bench.Series
import sycamoremast.bench.cell

internal object CapacityExperiment : Experiment {
    override val name = "capacity"
    override val summary = "Slopes of processor time, bytes, calls and memory by role and size"

    override fun run(seed: Long): ExperimentResult {
        val results = allProbes().map { it.run(seed) }
        return ExperimentResult(listOf(points(results), slopes(results)), results.map(::plot))
    }

    private fun allProbes(): List<Probe> = shardProbes() + configurationProbes() +
        peerProbes() + platformCallProbes() + workerRoundProbes()

    private fun points(results: List<ProbeResult>) = ResultTable(
        "capacity-points",
        listOf("role", "quantity", "unit", "size_of", "size", "value"),
        results.flatMap { (probe, values) ->
            probe.sizes.zip(values).map { (size, value) ->
                with(probe) {
                    listOf(role, quantity, unit, sizeName, size.toString(), cell(value))
                }
            }
        }
    )

    private fun slopes(results: List<ProbeResult>) = ResultTable(
        "capacity-slopes",
        listOf("role", "quantity", "unit", "per", "slope", "intercept", "fit"),
        results.map { result ->
            val (slope, intercept, rSquared) = result.line
            with(result.probe) {
                listOf(role, quantity, unit, sizeName, cell(slope), cell(intercept), cell(rSquared))
            }
        }
    )

    private fun plot(result: ProbeResult): ResultPlot {
        val probe = result.probe
        val x = probe.sizes.map { it.toDouble() }
        val line = x.map { result.line.intercept + result.line.slope * it }
        return ResultPlot(
            name = "capacity-${probe.role}-${probe.quantity}-${probe.unit}-${probe.sizeName}"
                .replace(Regex("[^A-Za-z0-9]+"), "-"),
            title = "${probe.role}: ${probe.quantity}",
            xLabel = probe.sizeName,
            yLabel = probe.unit,
            series = listOf(Series("measured", x, result.values), Series("line", x, line))
        )
    }
}
