/**
 * Stops runs that show no progress, so that their tasks start on another worker.
 *
 * A run may stand still because its worker is hung or because its task takes long: a whole percent
 * of it may take longer than any fixed time. So a run is awaited for several times as long as a
 * percent takes by the task's estimate or by the run's own pace, and longer the more runs of the
 * task have stood still. The latter is recorded, as successors would else begin anew.
 */
package sycamoremast.coordination.workflow

internal class StuckRuns(private val fleet: Fleet, private val recorder: Recorder) {
    /** Stops the running [placement] if it has shown no progress for too long. */
    fun stopIfStuck(placement: Placement, nowMillis: Long) {
        if (!isExpectedToProgress(placement)) return
        val silentMillis = nowMillis - placement.lastProgressMillis
        val patienceMillis = patienceMillis(placement)
        if (silentMillis <= patienceMillis) return
        val task = placement.task
        val worker = placement.worker
        val isFirst = task.counted.stalledRuns.all { it == placement.run }
        val isWorkerSuspect = isFirst && !goesOn(worker, nowMillis)
        if (isWorkerSuspect) worker.bars.set(StartHold.RUN_STUCK, nowMillis + STUCK_PAUSE_MILLIS)
        task.counted.stalledRuns += placement.run
        task.counted.stalledOn += worker.id
        recorder.markChanged(task.step.workflow)
        fleet.log(
            "run-stuck",
            task.name.toString(),
            "run" to placement.run,
            "worker" to worker.id,
            "percent" to placement.percent,
            "silentMillis" to silentMillis,
            "patienceMillis" to patienceMillis,
            "stalledRuns" to task.counted.stalledRuns.size,
            "isWorkerSuspect" to isWorkerSuspect
        )
        fleet.stop(placement, nowMillis, "no progress")
    }

    private fun isExpectedToProgress(placement: Placement): Boolean =
        !placement.task.step.spec.isLongRunning &&
            placement.worker.contactFailures == 0 &&
            placement.pacePercent >= Placement.FULL_PACE

    /** Whether [worker] works on any run; if it is hung, all of them stand still. */
    private fun goesOn(worker: FleetWorker, nowMillis: Long): Boolean =
        worker.placements.values.any { other ->
            other.changedMillis?.let { nowMillis - it < RECENT_CHANGE_MILLIS } ?: false
        }

    private fun patienceMillis(placement: Placement): Long {
        val task = placement.task
        val percentMillis = maxOf(
            task.step.spec.estimateMillis / PERCENTS_PER_RUN,
            placement.millisPerPercent
        )
        val doublings = (task.counted.stalledRuns.size - RUNS_BLAMED_ON_WORKERS)
            .coerceIn(0, MAX_DOUBLINGS)
        val usualMillis = percentMillis.coerceAtMost(LONGEST_PATIENCE_MILLIS) * PERCENTS_AWAITED
        val patienceMillis = usualMillis.coerceAtLeast(STUCK_TIMEOUT_MILLIS) shl doublings
        return patienceMillis.coerceAtMost(LONGEST_PATIENCE_MILLIS)
    }

    private companion object {
        /** Longer than a task of usual length takes between two changes of its percentage. */
        const val STUCK_TIMEOUT_MILLIS = 3_000L

        /**
         * How many times as long as usual a percent may take: estimates are rough, and a task takes
         * several times as long far from its data or on a slow worker.
         */
        const val PERCENTS_AWAITED = 4
        const val PERCENTS_PER_RUN = 100

        /** How many stalled runs are blamed on their workers before the task is taken for slow. */
        const val RUNS_BLAMED_ON_WORKERS = 1
        const val MAX_DOUBLINGS = 15

        /** A task that works without showing it for longer than a day is given no more time. */
        const val LONGEST_PATIENCE_MILLIS = 86_400_000L

        const val STUCK_PAUSE_MILLIS = 4_000L

        /** Longer than a poll waits, and shorter than it takes to find that a worker is hung. */
        const val RECENT_CHANGE_MILLIS = 1_500L
    }
}
