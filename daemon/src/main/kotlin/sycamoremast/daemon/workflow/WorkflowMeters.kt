/** Counters and histograms of a host that schedules workflows, in the Prometheus format. */
package sycamoremast.daemon.workflow

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.TimeUnit.NANOSECONDS
import sycamoremast.coordination.workflow.SchedulerEvent

/** Collects what the parts of a host count. */
class WorkflowMeters {
    internal val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val timers = ConcurrentHashMap<String, Timer>()

    /** Returns all figures as text. */
    fun scrape(): String = registry.scrape()

    /** Counts a decision of the scheduler. */
    fun decided(event: SchedulerEvent) {
        val kind = event.fields["how"] ?: event.fields["phase"] ?: event.fields["reason"] ?: ""
        registry.counter("sycamore.decisions", "event", event.name, "kind", "$kind").increment()
        (event.fields["waitedMillis"] as? Long)?.let { millis("sycamore.run.wait", it) }
        (event.fields["ranMillis"] as? Long)?.let { millis("sycamore.run.time", it) }
        if (event.name == ENDED) {
            (event.fields["ageMillis"] as? Long)?.let { millis("sycamore.workflow.time", it) }
        }
    }

    /** Counts a submission's [outcome]. */
    internal fun submitted(outcome: Acceptance) {
        val name = outcome.javaClass.simpleName.lowercase()
        registry.counter("sycamore.submissions", "outcome", name).increment()
    }

    /** Counts a call of the store. */
    internal fun called(call: String, isAnswered: Boolean, nanos: Long) {
        timer("sycamore.store.calls", "call", call, "answered", "$isAnswered")
            .record(nanos, NANOSECONDS)
    }

    /** Shows [read] under [name]. */
    internal fun gauge(name: String, read: () -> Number) {
        Gauge.builder(name) { read() }.register(registry)
    }

    private fun millis(name: String, millis: Long) = timer(name).record(millis, MILLISECONDS)

    private fun timer(name: String, vararg tags: String): Timer =
        timers.computeIfAbsent(name + tags.joinToString()) {
            Timer.builder(name).tags(*tags).publishPercentileHistogram().register(registry)
        }

    private companion object {
        const val ENDED = "workflow-ended"
    }
}
