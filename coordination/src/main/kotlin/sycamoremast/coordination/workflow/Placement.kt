/**
 * Runs of tasks on workers, as the owner knows them.
 *
 * The state chart `placement.scxml` defines the transitions between phases. A task may start on
 * another worker only once its placement is released.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.statechart.StateChart

internal enum class PlacementPhase { STARTING, UNCONFIRMED, RUNNING, STOPPING, FENCED, RELEASED }

internal enum class PlacementEvent { SEEN, ANSWER_LOST, STOP_ORDERED, STOP_ANSWERED, GONE }

/** Run number [run] of [task] on [worker], in its current phase since [phaseSinceMillis]. */
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

    /** Whether the worker has confirmed or reported the run. */
    var wasSeen = false
        private set

    private val progress = RunProgress(startedMillis)

    /** When the run last reported progress, started or changed its pace. */
    val lastProgressMillis: Long get() = progress.lastMillis
    val percent: Int get() = progress.percent

    /** When a report last showed more than the one before, or null if none has. */
    val changedMillis: Long? get() = progress.changedMillis

    /** How long the run has taken for each percent so far, or 0 while that is unknown. */
    val millisPerPercent: Long get() = progress.millisPerPercent
    var gauge: Double? = null
        private set

    /** The percentage of full speed at which the run was ordered to work. */
    var pacePercent = FULL_PACE
        private set

    /** When the pace was last changed. */
    var paceChangedMillis = Long.MIN_VALUE / 2
        private set

    /** When its start was sent, or the run was placed if it has not been. */
    var sentMillis = startedMillis

    /** Whether the worker may have restarted unnoticed when the start was sent. */
    var mayBeStray = !worker.incarnation.isKnown(startedMillis)

    /** Whether the worker looked unsound when the run was placed on it. */
    val wasWorkerSuspect = worker.bars.suspicionOrNull(startedMillis) != null

    /** Whether the run has not been shown running for long enough to be harmless. */
    var isExposed = true

    /** Whether the worker was certainly up when the run was ordered, or has shown the run. */
    var hasReachedWorker = worker.isCertainlyUp(startedMillis)
        private set

    /** The worker's clock when the worker first showed the run, or null. */
    private var seenClockMillis: Long? = null

    /** Whether the run could be the cause if its worker crashed now. */
    val mayCrash: Boolean
        get() = isExposed && phase != PlacementPhase.FENCED && phase != PlacementPhase.RELEASED

    /** Applies [event]; returns whether the state chart allows it in the current phase. */
    fun transition(event: PlacementEvent, nowMillis: Long): Boolean {
        val next = CHART.nextOrNull(phase, event) ?: return false
        if (next != phase) {
            phaseSinceMillis = nowMillis
            phase = next
            worker.onPhaseChanged()
        }
        if (event == PlacementEvent.SEEN) wasSeen = true
        return true
    }

    /** Records that the worker reported the end of the run, perhaps before it answered the start. */
    fun recordEnd() {
        wasSeen = true
    }

    /** Updates the run from its [row] in a report of the worker. */
    fun recordProgress(row: RunningRow, nowMillis: Long) {
        progress.record(row.percent, row.checkpoint != task.checkpoint, nowMillis)
        gauge = row.gauge
        if (row.checkpoint.isNotEmpty()) task.checkpoint = row.checkpoint
        transition(PlacementEvent.SEEN, nowMillis)
    }

    /**
     * Records that the worker showed the run at [clockMillis] of its clock; returns for how long it
     * has shown it.
     */
    fun recordSeen(clockMillis: Long): Long {
        hasReachedWorker = true
        val first = seenClockMillis ?: clockMillis.also { seenClockMillis = it }
        return clockMillis - first
    }

    /** Records that the run was ordered to work at [percent] of full speed. */
    fun recordPace(percent: Int, nowMillis: Long) {
        worker.updatePace(this, percent)
        pacePercent = percent
        paceChangedMillis = nowMillis
        progress.onPaceChanged(nowMillis)
    }

    /** The ratio of the target of a serving run to the tail latency that it last reported. */
    val headroomOrNull: Double?
        get() = gauge?.takeIf { it > 0 }?.let { task.step.spec.targetTailMillis / it }

    /**
     * Requires a report to a poll sent after [nowMillis] as proof that the run is absent.
     *
     * An earlier report leaves open whether the worker's next incarnation will still carry out the
     * start.
     */
    fun awaitReport(nowMillis: Long) {
        phaseSinceMillis = nowMillis
    }

    /** Restarts the timer after which an unanswered stop is sent again. */
    fun restartStopTimer(nowMillis: Long) {
        phaseSinceMillis = nowMillis
    }

    /** Whether the next poll must return at once, as the state of the run is uncertain. */
    val needsImmediateReport: Boolean
        get() = phase == PlacementPhase.UNCONFIRMED || phase == PlacementPhase.FENCED

    /** Whether the run was told to stop. */
    val isLeaving: Boolean
        get() = phase == PlacementPhase.STOPPING || phase == PlacementPhase.FENCED

    companion object {
        /** The pace, in percent, at which a run starts. */
        const val FULL_PACE = 100

        private val CHART = StateChart.fromResource(
            "placement.scxml",
            PlacementPhase::class,
            PlacementEvent::class
        )
    }
}
