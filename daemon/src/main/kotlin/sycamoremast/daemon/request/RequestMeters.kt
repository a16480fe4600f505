/** The metrics of the request path. */
package sycamoremast.daemon.request

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/** Records the metrics of the request path in [registry]. */
internal class RequestMeters(private val registry: MeterRegistry) {
    /** Registers a gauge for the number of requests in progress, [count]. */
    fun registerInProgressGauge(count: () -> Int) {
        Gauge.builder("sycamoremast.requests.in.progress") { count() }
            .strongReference(true)
            .register(registry)
    }

    /** Counts a request of [service] with its [outcome]. */
    fun countOutcome(service: String, outcome: String) = registry.counter(
        "sycamoremast.requests.outcomes",
        "service",
        service,
        "outcome",
        outcome
    ).increment()

    /** Records how long a request of [service] waited for a slot or for its refusal. */
    fun recordWait(service: String, millis: Double) {
        Timer.builder("sycamoremast.requests.wait").tag("service", service).register(registry)
            .record((millis * MICROS_PER_MILLI).toLong(), TimeUnit.MICROSECONDS)
    }

    /** Counts a retry of [service] that the retry budget [allowed] or denied. */
    fun countRetry(service: String, allowed: Boolean) = registry.counter(
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
