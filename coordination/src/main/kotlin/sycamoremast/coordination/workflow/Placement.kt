/**
 * Runs of tasks on workers, as the owner knows them.
 *
 * The chart `placement.scxml` says which step may follow which. A task may start elsewhere only
 * once its placement is released.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.statechart.StateChart

internal enum class PlacementPhase { STARTING, UNCONFIRMED, RUNNING, STOPPING, FENCED, RELEASED }

internal enum class PlacementEvent { SEEN, ANSWER_LOST, STOP_ORDERED, STOP_ANSWERED, GONE }

/** Run number [run] of [task] on [worker], in its phase since [phaseSinceMillis]. */
internal class Placement(
    val task: OpenTask,
    val worker: FleetWorker,
    val run: Int,
    val startedMillis: Long
) {
    var phase = CHART.initial
        private set
    var phaseSinceMillis = startedMillis
        private set

    /** When the run was last known to have made progress. */
    var lastProgressMillis = startedMillis
        private set
    var percent = 0
        private set
    var gauge: Double? = null
        private set

    /** Percent of its speed at which the run was told to work. */
    var pacePercent = FULL_PACE
        private set

    /** When the pace was last changed. */
    var paceChangedMillis = Long.MIN_VALUE / 2
        private set

    /** Moves on by [event]; returns whether the chart allows it. */
    fun transition(event: PlacementEvent, nowMillis: Long): Boolean {
        val next = CHART.nextOrNull(phase, event) ?: return false
        if (next != phase) phaseSinceMillis = nowMillis
        phase = next
        return true
    }

    /** Takes in a [row] of the worker's report. */
    fun recordProgress(row: RunningRow, nowMillis: Long) {
        val hasProgressed = row.percent != percent || row.checkpoint != task.checkpoint
        if (hasProgressed) lastProgressMillis = nowMillis
        percent = row.percent
        gauge = row.gauge
        if (row.checkpoint.isNotEmpty()) task.checkpoint = row.checkpoint
        transition(PlacementEvent.SEEN, nowMillis)
    }

    /** Notes that the run was told to work at [percent]. */
    fun recordPace(percent: Int, nowMillis: Long) {
        worker.updatePace(this, percent)
        pacePercent = percent
        paceChangedMillis = nowMillis
        lastProgressMillis = nowMillis
    }

    /** The target of a serving run over the tail that it last reported. */
    val headroomOrNull: Double?
        get() = gauge?.takeIf { it > 0 }?.let { task.step.spec.targetTailMillis / it }

    /** Starts the time until an unanswered stop is sent again anew. */
    fun restartStopTimer(nowMillis: Long) {
        phaseSinceMillis = nowMillis
    }

    /** Whether the next report has to show at once what became of the run. */
    val needsImmediateReport: Boolean
        get() = phase == PlacementPhase.UNCONFIRMED || phase == PlacementPhase.FENCED

    companion object {
        /** The share of its speed at which a run starts. */
        const val FULL_PACE = 100

        private val CHART = StateChart.fromResource(
            "placement.scxml",
            PlacementPhase::class,
            PlacementEvent::class
        )
    }
}
