/** The metrics of the request path. */
package sycamoremast.daemon.request

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

internal class RequestMeters(private val registry: MeterRegistry) {
    /** Watches the number of requests in progress. */
    fun watchInProgress(count: () -> Int) {
        Gauge.builder("sycamoremast.requests.in.progress") { count() }
            .strongReference(true)
            .register(registry)
    }

    /** Counts a request of [service] with its [outcome]. */
    fun ended(service: String, outcome: String) = registry.counter(
        "sycamoremast.requests.outcomes",
        "service",
        service,
        "outcome",
        outcome
    ).increment()

    /** Notes how long a request waited for a slot or its refusal. */
    fun waited(service: String, millis: Double) {
        Timer.builder("sycamoremast.requests.wait").tag("service", service).register(registry)
            .record((millis * MICROS_PER_MILLI).toLong(), TimeUnit.MICROSECONDS)
    }

    /** Counts a retry that the budget [allowed], or did not. */
    fun retry(service: String, allowed: Boolean) = registry.counter(
        "sycamoremast.requests.retries",
        "service",
        service,
        "allowed",
        allowed.toString()
    ).increment()

    private companion object {
        const val MICROS_PER_MILLI = 1_000
    }
}
