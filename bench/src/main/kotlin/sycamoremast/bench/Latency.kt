/** Latencies with their percentiles. */
package sycamoremast.bench

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram

/** Records latencies from several threads, in microseconds up to two minutes. */
class LatencyRecorder {
    private val histogram = ConcurrentHistogram(MAX_MICROS, DIGITS)

    /** Records one latency. */
    fun record(micros: Long) = histogram.recordValue(micros.coerceIn(0, MAX_MICROS))

    /** Returns a copy of what was recorded so far. */
    fun snapshot(): Histogram = histogram.copy()

    companion object {
        private const val MAX_MICROS = 120_000_000L
        private const val DIGITS = 3
    }
}

/** The latencies of one kind of work, in microseconds. */
data class NamedLatency(val name: String, val histogram: Histogram)

/** Returns the latency below which [percentile] percent lie, in milliseconds. */
internal fun Histogram.millisAt(percentile: Double): Double =
    if (totalCount == 0L) Double.NaN else getValueAtPercentile(percentile) / MICROS_PER_MILLI

/** Returns a table of the usual percentiles. */
internal fun latencyTable(name: String, latencies: List<NamedLatency>) = ResultTable(
    name,
    listOf("what", "count", "p50_ms", "p90_ms", "p99_ms", "p99.9_ms", "max_ms"),
    latencies.map { (what, histogram) ->
        val percentiles = SHOWN_PERCENTILES.map { cell(histogram.millisAt(it)) }
        listOf(what, cell(histogram.totalCount)) + percentiles
    }
)

internal const val MICROS_PER_MILLI = 1000.0
private val SHOWN_PERCENTILES = listOf(50.0, 90.0, 99.0, 99.9, 100.0)
