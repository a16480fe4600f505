/** A measurement of one quantity at several sizes. */
package sycamoremast.bench.capacity

import kotlin.random.Random

/**
 * Measures how [quantity] of a [role], in [unit], depends on the size named [sizeName].
 *
 * [measure] returns the quantity at one of [sizes].
 */
internal data class Probe(
    val role: String,
    val quantity: String,
    val unit: String,
    val sizeName: String,
    val sizes: List<Int>,
    val measure: (size: Int, random: Random) -> Double
)

/** The [values] of a probe at each of its sizes, and the line fitted to them. */
internal data class ProbeResult(val probe: Probe, val values: List<Double>) {
    val line = LinearFit.through(probe.sizes.map { it.toDouble() }, values)
}

/**
 * Runs the probe at each size, after one discarded run at the first size.
 *
 * Each run gets a new random generator with [seed].
 */
internal fun Probe.run(seed: Long): ProbeResult {
    measure(sizes.first(), Random(seed))
    return ProbeResult(this, sizes.map { measure(it, Random(seed)) })
}
