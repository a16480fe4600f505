/**
 * Forecasts the headroom that serving steps have without neighbours.
 *
 * The load of serving tasks rises and falls in periods of seconds to a minute, so a neighbour that
 * does no harm when it starts may push them over their target before it ends. Filters for a range
 * of periods follow each step. The period whose forecasts have been most exact is used for all
 * steps of a queue, as one service's callers share their habits.
 */
package sycamoremast.coordination.workflow

import kotlin.math.pow
import kotlin.math.sqrt

internal class HeadroomForecast {
    /** The filters of one step; readings of all its tasks within a short time are averaged. */
    private class StepState(val queue: QueueErrors, nowMillis: Long, level: Double) {
        val filters = PERIODS_MILLIS.map { SwingFilter(it, level) }
        var weightedSum = 0.0
        var weight = 0.0
        var averagedFromMillis = nowMillis
        var updates = 0

        /** What each filter expects at [checkMillis]. */
        val expected = DoubleArray(PERIODS_MILLIS.size) { level }
        var checkMillis = nowMillis + CHECK_INTERVAL_MILLIS
    }

    /** The squared errors of past forecasts by period, for the steps of one queue. */
    private class QueueErrors {
        val squared = DoubleArray(PERIODS_MILLIS.size)
        var count = 0.0
        var best = 0
        var level = INITIAL_LEVEL
        val isKnown: Boolean get() = count >= MIN_CHECKS

        fun add(value: Double, expected: DoubleArray) {
            count = count * ERROR_RETENTION + 1
            for (i in squared.indices) {
                val error = (value - expected[i]).coerceIn(-MAX_ERROR, MAX_ERROR)
                squared[i] = squared[i] * ERROR_RETENTION + error * error
            }
            best = squared.indices.minBy { squared[it] }
        }
    }

    private val steps = HashMap<OpenStep, StepState>()
    private val queues = HashMap<String, QueueErrors>()

    /** Updates the forecast of [step] from a reading whose error grows as [trust] falls from 1. */
    fun onReading(step: OpenStep, unloaded: Double, trust: Double, nowMillis: Long) {
        val state = steps.getOrPut(step) {
            val queue = queues.getOrPut(step.workflow.spec.queue.name) { QueueErrors() }
            StepState(queue, nowMillis, queue.level)
        }
        state.weightedSum += unloaded * trust
        state.weight += trust
        if (nowMillis < state.averagedFromMillis + AVERAGING_MILLIS) return
        update(state, state.weightedSum / state.weight, nowMillis)
        state.weightedSum = 0.0
        state.weight = 0.0
        state.averagedFromMillis = nowMillis
    }

    private fun update(state: StepState, value: Double, nowMillis: Long) {
        val queue = state.queue
        queue.level += LEVEL_WEIGHT * (value - queue.level)
        val isCheck = nowMillis >= state.checkMillis
        val wasCheckedInTime = nowMillis < state.checkMillis + AVERAGING_MILLIS
        if (isCheck && wasCheckedInTime && state.updates >= MIN_UPDATES) {
            queue.add(value, state.expected)
        }
        val variance = READING_VARIANCE / state.weight.coerceIn(MIN_TRUST, 1.0)
        state.filters.forEach { it.update(value, variance, nowMillis) }
        state.updates++
        if (!isCheck) return
        state.checkMillis = nowMillis + CHECK_INTERVAL_MILLIS
        for ((i, filter) in state.filters.withIndex()) {
            state.expected[i] = filter.valueAt(state.checkMillis)
        }
    }

    /**
     * Returns the lowest headroom of [step] expected within [durationMillis] from now, or null as
     * long as too little is known of its load.
     */
    fun lowestOrNull(step: OpenStep, nowMillis: Long, durationMillis: Long): Double? {
        val state = steps[step]?.takeIf { it.queue.isKnown && it.updates >= MIN_UPDATES }
        val filter = state?.let { it.filters[it.queue.best] } ?: return null
        val end = nowMillis + durationMillis.coerceIn(0, MAX_DURATION_MILLIS)
        return (nowMillis..end step SAMPLE_MILLIS).minOf { filter.valueAt(it) }
            .coerceAtMost(filter.valueAt(end))
    }

    /** Returns the standard error of forecasts for [queue], or null if it is not known yet. */
    fun standardErrorOrNull(queue: String): Double? =
        queues[queue]?.takeIf { it.isKnown }?.let { sqrt(it.squared[it.best] / it.count) }

    /** Returns the period of the load of [queue] in milliseconds, or null if it is not known. */
    fun periodMillisOrNull(queue: String): Long? =
        queues[queue]?.takeIf { it.isKnown }?.let { PERIODS_MILLIS[it.best].toLong() }

    fun remove(step: OpenStep) {
        steps -= step
    }

    private companion object {
        /** From 5 to 68 s; neighbouring periods stay in phase for longer than a batch task runs. */
        val PERIODS_MILLIS = List(24) { 5_000 * 1.12.pow(it) }

        /** The usual headroom of a service that is planned for its peaks. */
        const val INITIAL_LEVEL = 2.5
        const val LEVEL_WEIGHT = 0.005

        const val AVERAGING_MILLIS = 300L

        /** About how long a batch task runs. */
        const val CHECK_INTERVAL_MILLIS = 2_000L
        const val ERROR_RETENTION = 0.99
        const val MIN_CHECKS = 20
        const val MIN_UPDATES = 6

        /** Bounds the weight of a single reading, which a heavy neighbour may have distorted. */
        const val MAX_ERROR = 2.0
        const val READING_VARIANCE = 0.05
        const val MIN_TRUST = 0.1
        const val MAX_DURATION_MILLIS = 5_000L
        const val SAMPLE_MILLIS = 500L
    }
}
