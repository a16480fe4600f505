/** The samples of a run, and the tables and series derived from them. */
package sycamoremast.bench.request

import org.HdrHistogram.Histogram
import sycamoremast.bench.LatencyRecorder
import sycamoremast.bench.NamedLatency
import sycamoremast.bench.ResultTable
import sycamoremast.bench.Series
import sycamoremast.bench.cell

/** The [samples] of a run of one system, and how many requests its backend servers refused. */
internal data class SystemRun(
    val system: String,
    val samples: List<Sample>,
    val refusedByBackends: Long
)

/** Returns a histogram of [value], in microseconds, over all samples. */
internal fun List<Sample>.latencies(value: (Sample) -> Long): Histogram {
    val recorder = LatencyRecorder()
    forEach { recorder.record(value(it)) }
    return recorder.snapshot()
}

internal fun List<Sample>.answered() = filter { it.outcome == SampleOutcome.ANSWERED }

internal fun List<Sample>.ofKind(kind: String) = filter { it.kind == kind }

/** Returns the samples of the calls that were sent in the given interval. */
internal fun List<Sample>.within(fromMillis: Long, untilMillis: Long) =
    filter { it.atMillis >= fromMillis && it.atMillis < untilMillis }

/** Returns a table of the number of calls by run, kind and outcome. */
internal fun outcomeTable(name: String, runs: List<SystemRun>) = ResultTable(
    name,
    listOf("system", "kind") + SampleOutcome.entries.map { it.name.lowercase() } +
        "refused_by_backends",
    runs.flatMap { run ->
        run.samples.groupBy { it.kind }.toSortedMap().map { (kind, samples) ->
            val counts = SampleOutcome.entries.map { outcome ->
                samples.count { it.outcome == outcome }.toString()
            }
            listOf(run.system, kind) + counts + run.refusedByBackends.toString()
        }
    }
)

/** Returns a table of the reasons for unanswered requests by run, with first and last time. */
internal fun reasonTable(name: String, runs: List<SystemRun>) = ResultTable(
    name,
    listOf("system", "kind", "count", "first_s", "last_s", "reason"),
    runs.flatMap { run ->
        run.samples.filter { it.reason.isNotEmpty() }
            .groupBy { it.kind to it.reason }
            .map { (key, samples) ->
                val first = cell(samples.minOf { it.atMillis } / MILLIS_PER_SECOND)
                val last = cell(samples.maxOf { it.atMillis } / MILLIS_PER_SECOND)
                listOf(run.system, key.first, "${samples.size}", first, last, key.second)
            }
    }
)

/** Returns, for each second, the work answered in it as a share of the time of [slots]. */
internal fun goodputSeries(run: SystemRun, slots: Int, durationMillis: Long): Series {
    val seconds = (durationMillis / MILLIS_PER_SECOND).toInt()
    val answeredWork = DoubleArray(seconds)
    run.samples.answered().forEach { sample ->
        val end = ((sample.atMillis + sample.latencyMillis) / MILLIS_PER_SECOND).toInt()
        if (end < seconds) answeredWork[end] += sample.workMillis / MILLIS_PER_SECOND.toDouble()
    }
    return Series(run.system, List(seconds) { it.toDouble() }, answeredWork.map { it / slots })
}

/** Returns the work answered in the given interval as a share of the time of [slots]. */
internal fun goodput(run: SystemRun, slots: Int, fromMillis: Long, untilMillis: Long): Double {
    val work = run.samples.answered()
        .filter { (it.atMillis + it.latencyMillis).toLong() in fromMillis until untilMillis }
        .sumOf { it.workMillis }
    return work.toDouble() / (slots * (untilMillis - fromMillis))
}

/** Returns the wait beyond the work itself of the answered calls of [kind]. */
internal fun waitLatency(run: SystemRun, kind: String) = NamedLatency(
    "${run.system} $kind",
    run.samples.ofKind(kind).answered().latencies { it.waitMicros }
)

/** Returns a table with one row per second and one column per series. */
internal fun seriesTable(name: String, series: List<Series>) = ResultTable(
    name,
    listOf("second") + series.map { it.name },
    series.first().x.indices.map { i ->
        listOf(cell(series.first().x[i])) + series.map { cell(it.y[i]) }
    }
)

private const val MILLIS_PER_SECOND = 1000L
