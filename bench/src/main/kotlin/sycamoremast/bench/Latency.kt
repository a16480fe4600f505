/** Latency histograms and tables of their percentiles. */
package sycamoremast.bench

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram

/** A thread-safe recorder of latencies in microseconds. Values above two minutes are clamped. */
class LatencyRecorder {
    private val histogram = ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS)

    /** Records one latency, clamped to the range of the histogram. */
    fun record(micros: Long) = histogram.recordValue(micros.coerceIn(0, MAX_MICROS))

    /** Returns a copy of the latencies recorded so far. */
    fun snapshot(): Histogram = histogram.copy()

    companion object {
        private const val MAX_MICROS = 120_000_000L
        private const val SIGNIFICANT_DIGITS = 3
    }
}

/** A labelled histogram of latencies in microseconds. */
data class NamedLatency(val name: String, val histogram: Histogram)

/** Returns the latency at [percentile] in milliseconds, or NaN if the histogram is empty. */
internal fun Histogram.millisAt(percentile: Double): Double =
    if (totalCount == 0L) Double.NaN else getValueAtPercentile(percentile) / MICROS_PER_MILLI

/** Returns a table with the count, p50, p90, p99, p99.9 and maximum of each of [latencies]. */
internal fun latencyTable(name: String, latencies: List<NamedLatency>) = ResultTable(
    name,
    listOf("what", "count", "p50_ms", "p90_ms", "p99_ms", "p99.9_ms", "max_ms"),
    latencies.map { (label, histogram) ->
        val percentiles = TABLE_PERCENTILES.map { cell(histogram.millisAt(it)) }
        listOf(label, cell(histogram.totalCount)) + percentiles
    }
)

internal const val MICROS_PER_MILLI = 1000.0
private val TABLE_PERCENTILES = listOf(50.0, 90.0, 99.0, 99.9, 100.0)
