/** One quantity that grows with a size, measured at several sizes. */
package sycamoremast.bench.capacity

import kotlin.random.Random

/**
 * Measures [quantity] of a [role], in [unit], at each of [sizes] of [sizeName].
 *
 * [measure] returns the quantity at one size.
 */
internal data class Probe(
    val role: String,
    val quantity: String,
    val unit: String,
    val sizeName: String,
    val sizes: List<Int>,
    val measure: (size: Int, random: Random) -> Double
)

/** What a probe measured, and the line through it. */
internal data class ProbeResult(val probe: Probe, val values: List<Double>) {
    val slope = Slope.through(probe.sizes.map { it.toDouble() }, values)
}

/** Runs the probe, once unmeasured; each size gets a generator of its own from [seed]. */
internal fun Probe.run(seed: Long): ProbeResult {
    measure(sizes.first(), Random(seed))
    return ProbeResult(this, sizes.map { measure(it, Random(seed)) })
}
