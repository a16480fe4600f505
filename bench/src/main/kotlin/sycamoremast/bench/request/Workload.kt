/** The load of a request experiment: kinds of requests and their arrival times. */
package sycamoremast.bench.request

import kotlin.math.ln
import kotlin.random.Random

/** An arrival rate that varies over time. */
internal fun interface Rate {
    /** Returns the arrivals per second at [millis] after the start. */
    fun at(millis: Double): Double

    companion object {
        fun constant(perSecond: Double) = Rate { perSecond }

        /** Returns a rate of [peak] from [fromMillis] to [untilMillis] and of [base] otherwise. */
        fun surge(base: Double, peak: Double, fromMillis: Double, untilMillis: Double) =
            Rate { if (it in fromMillis..untilMillis) peak else base }
    }
}

/**
 * One kind of request, which holds a slot for [workMillis].
 *
 * [peakRate] is an upper bound of [rate].
 */
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

/** Returns the Poisson arrivals of all [workloads] within [durationMillis], ordered by time. */
internal fun arrivals(workloads: List<Workload>, durationMillis: Long, random: Random) =
    workloads.flatMap { poisson(it, durationMillis, random) }.sortedBy { it.atMillis }

/** Returns Poisson arrivals at the peak rate, thinned to the current rate. */
private fun poisson(workload: Workload, durationMillis: Long, random: Random): List<Arrival> {
    val arrivals = mutableListOf<Arrival>()
    var atMillis = 0.0
    while (true) {
        atMillis += -ln(1 - random.nextDouble()) * MILLIS_PER_SECOND / workload.peakRate
        if (atMillis >= durationMillis) return arrivals
        if (random.nextDouble() * workload.peakRate < workload.rate.at(atMillis)) {
            arrivals += Arrival(atMillis, workload)
        }
    }
}

private const val MILLIS_PER_SECOND = 1000.0
