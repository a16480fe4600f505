/** The metrics of a host that schedules workflows, in the Prometheus format. */
package sycamoremast.daemon.workflow

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.TimeUnit.NANOSECONDS
import sycamoremast.coordination.workflow.FailureReason
import sycamoremast.coordination.workflow.SchedulerEvent
import sycamoremast.coordination.workflow.WorkflowStatus

/** Collects the metrics of all parts of a host. */
class WorkflowMeters {
    internal val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val timers = ConcurrentHashMap<String, Timer>()
    private val failures = FailureReason.entries.associateWith {
        registry.counter("sycamore.workflows.failed", "reason", it.name.lowercase())
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    /** Counts a scheduler event and records the durations in its fields. */
    fun countDecision(event: SchedulerEvent) {
        val kind = event.fields["how"] ?: event.fields["phase"] ?: event.fields["reason"] ?: ""
        registry.counter("sycamore.decisions", "event", event.name, "kind", "$kind").increment()
        (event.fields["waitedMillis"] as? Long)?.let { recordMillis("sycamore.run.wait", it) }
        (event.fields["ranMillis"] as? Long)?.let { recordMillis("sycamore.run.time", it) }
        if (event.name == WORKFLOW_ENDED) {
            (event.fields["ageMillis"] as? Long)?.let { recordMillis("sycamore.workflow.time", it) }
        }
    }

    /** Counts a submission by its [outcome]. */
    internal fun countSubmission(outcome: Acceptance) {
        val name = outcome.javaClass.simpleName.lowercase()
        registry.counter("sycamore.submissions", "outcome", name).increment()
    }

    /** Counts a workflow whose recorded status changes from [previous] to a failure. */
    internal fun countFailure(previous: WorkflowStatus?, status: WorkflowStatus) {
        val failure = status.failure ?: return
        if (previous?.failure == null) failures.getValue(failure.reason).increment()
    }

    /** Records the duration of a call of the store. */
    internal fun recordStoreCall(call: String, isAnswered: Boolean, nanos: Long) {
        timer("sycamore.store.calls", "call", call, "answered", "$isAnswered")
            .record(nanos, NANOSECONDS)
    }

    /** Registers a gauge [name] whose value is returned by [read]. */
    internal fun registerGauge(name: String, read: () -> Number) {
        Gauge.builder(name) { read() }.register(registry)
    }

    private fun recordMillis(name: String, millis: Long) = timer(name).record(millis, MILLISECONDS)

    private fun timer(name: String, vararg tags: String): Timer =
        timers.computeIfAbsent(name + tags.joinToString()) {
            Timer.builder(name).tags(*tags).publishPercentileHistogram().register(registry)
        }

    private companion object {
        const val WORKFLOW_ENDED = "workflow-ended"
    }
}
