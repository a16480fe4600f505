/** Tables over samples. */
package sycamoremast.bench.request

import org.HdrHistogram.Histogram
import sycamoremast.bench.LatencyRecorder
import sycamoremast.bench.NamedLatency
import sycamoremast.bench.ResultTable
import sycamoremast.bench.Series
import sycamoremast.bench.cell

/** One system's run: its [samples], and what its backend servers refused. */
internal data class SystemRun(val system: String, val samples: List<Sample>, val refused: Long)

internal fun List<Sample>.latencies(value: (Sample) -> Long): Histogram {
    val recorder = LatencyRecorder()
    forEach { recorder.record(value(it)) }
    return recorder.snapshot()
}

internal fun List<Sample>.answered() = filter { it.outcome == SampleOutcome.ANSWERED }

internal fun List<Sample>.ofKind(kind: String) = filter { it.kind == kind }

internal fun List<Sample>.within(fromMillis: Long, untilMillis: Long) =
    filter { it.atMillis >= fromMillis && it.atMillis < untilMillis }

/** Returns how many calls of each run had each outcome. */
internal fun outcomeTable(name: String, runs: List<SystemRun>) = ResultTable(
    name,
    listOf("system", "kind") + SampleOutcome.entries.map { it.name.lowercase() } +
        "refused_by_backends",
    runs.flatMap { run ->
        run.samples.groupBy { it.kind }.toSortedMap().map { (kind, samples) ->
            val counts = SampleOutcome.entries.map { outcome ->
                samples.count { it.outcome == outcome }.toString()
            }
            listOf(run.system, kind) + counts + run.refused.toString()
        }
    }
)

/** Returns why requests of each run were not answered, and when first and last. */
internal fun reasonTable(name: String, runs: List<SystemRun>) = ResultTable(
    name,
    listOf("system", "kind", "count", "first_s", "last_s", "reason"),
    runs.flatMap { run ->
        run.samples.filter { it.reason.isNotEmpty() }
            .groupBy { it.kind to it.reason }
            .map { (what, samples) ->
                val first = cell(samples.minOf { it.atMillis } / MILLIS_PER_SECOND)
                val last = cell(samples.maxOf { it.atMillis } / MILLIS_PER_SECOND)
                listOf(run.system, what.first, "${samples.size}", first, last, what.second)
            }
    }
)

/** Returns the answered work of each second, as a share of [slots]. */
internal fun goodputSeries(run: SystemRun, slots: Int, durationMillis: Long): Series {
    val seconds = (durationMillis / MILLIS_PER_SECOND).toInt()
    val busy = DoubleArray(seconds)
    run.samples.answered().forEach { sample ->
        val end = ((sample.atMillis + sample.latencyMillis) / MILLIS_PER_SECOND).toInt()
        if (end < seconds) busy[end] += sample.workMillis / MILLIS_PER_SECOND.toDouble()
    }
    return Series(run.system, List(seconds) { it.toDouble() }, busy.map { it / slots })
}

/** Returns the answered work between the two times, as a share of [slots]. */
internal fun goodput(run: SystemRun, slots: Int, fromMillis: Long, untilMillis: Long): Double {
    val work = run.samples.answered()
        .filter { (it.atMillis + it.latencyMillis).toLong() in fromMillis until untilMillis }
        .sumOf { it.workMillis }
    return work.toDouble() / (slots * (untilMillis - fromMillis))
}

internal fun namedWaits(run: SystemRun, kind: String) = NamedLatency(
    "${run.system} $kind",
    run.samples.ofKind(kind).answered().latencies { it.waitMicros }
)

internal fun seriesTable(name: String, series: List<Series>) = ResultTable(
    name,
    listOf("second") + series.map { it.name },
    series.first().x.indices.map { i ->
        listOf(cell(series.first().x[i])) + series.map { cell(it.y[i]) }
    }
)

private const val MILLIS_PER_SECOND = 1000L
