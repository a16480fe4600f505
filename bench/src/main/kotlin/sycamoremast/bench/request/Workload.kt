/** The load of a request experiment: kinds of requests and when they arrive. */
package sycamoremast.bench.request

import kotlin.math.ln
import kotlin.random.Random

/** The rate of arrivals in a second, as a function of the milliseconds since the start. */
internal fun interface Rate {
    fun at(millis: Double): Double

    companion object {
        fun constant(perSecond: Double) = Rate { perSecond }

        /** [base] with [peak] in its place from [fromMillis] until [untilMillis]. */
        fun surge(base: Double, peak: Double, fromMillis: Double, untilMillis: Double) =
            Rate { if (it in fromMillis..untilMillis) peak else base }
    }
}

/** One kind of request, which holds a slot for [workMillis]. */
internal data class Workload(
    val kind: String,
    val path: String,
    val workMillis: Long,
    val rate: Rate,
    val peakRate: Double,
    val deadlineMillis: Long,
    val team: String = "inspectors"
)

/** A request that arrives [atMillis] after the start. */
internal data class Arrival(val atMillis: Double, val workload: Workload)

/** Returns the Poisson arrivals of all [workloads] within [durationMillis], in order. */
internal fun arrivals(workloads: List<Workload>, durationMillis: Long, random: Random) =
    workloads.flatMap { poisson(it, durationMillis, random) }.sortedBy { it.atMillis }

/** Arrivals at the peak rate, thinned to the rate of the moment. */
private fun poisson(workload: Workload, durationMillis: Long, random: Random): List<Arrival> {
    val arrivals = mutableListOf<Arrival>()
    var at = 0.0
    while (true) {
        at += -ln(1 - random.nextDouble()) * MILLIS_PER_SECOND / workload.peakRate
        if (at >= durationMillis) return arrivals
        if (random.nextDouble() * workload.peakRate < workload.rate.at(at)) {
            arrivals += Arrival(at, workload)
        }
    }
}

private const val MILLIS_PER_SECOND = 1000.0
