/**
 * Processes the ends of runs that workers report.
 *
 * A run that failed counts against its task's attempts, and against its worker if several fail in a
 * row there.
 */
package sycamoremast.coordination.workflow

internal class RunEnds(
    private val fleet: Fleet,
    private val recorder: Recorder,
    private val crashes: CrashLedger
) {
    private val lapsedRuns = LapsedRuns(fleet)

    /** Logs what is due. */
    fun step(nowMillis: Long) = lapsedRuns.step(nowMillis)

    /** Processes the end of a run that [worker] reports in [row]. */
    fun onEnded(worker: FleetWorker, row: EndedRow, nowMillis: Long) {
        val task = fleet.taskOrNull(row.task) ?: return
        val placement = worker.placements[row.task]?.takeIf { it.run == row.run }
        task.lastRun = maxOf(task.lastRun, row.run)
        if (row.checkpoint.isNotEmpty()) task.checkpoint = row.checkpoint
        val workflow = task.step.workflow
        fleet.log(
            "run-ended",
            row.task.toString(),
            "run" to row.run,
            "worker" to worker.id,
            "how" to row.how,
            "ranMillis" to placement?.let { nowMillis - it.startedMillis }
        )
        if (row.how == RunEnd.LAPSED && task.step.spec.isLongRunning) {
            lapsedRuns.count(worker, isKnown = placement != null)
        }
        if (placement != null) {
            placement.recordEnd()
            fleet.release(placement, nowMillis)
        }
        if (!workflow.isOpen) return
        crashes.onReported(task, row.run)
        recorder.markBegun(workflow)
        when (row.how) {
            RunEnd.DONE -> onDone(task, worker, nowMillis)

            RunEnd.FAILED -> {
                val wasSuspect = placement?.wasWorkerSuspect == true
                onFailed(task, row.run, worker, wasSuspect, nowMillis)
            }

            RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.BROKEN, RunEnd.ALONE ->
                recorder.markChanged(workflow)
        }
    }

    private fun onDone(task: OpenTask, worker: FleetWorker, nowMillis: Long) {
        worker.consecutiveFailures = 0
        val workflow = task.step.workflow
        recorder.markChanged(workflow)
        fleet.endCandidates += workflow
        if (task.step.spec.isLongRunning) return
        if (task.step.spec.isGang) {
            // If one member is done, the whole gang is done.
            task.step.tasks.forEach { it.markDone() }
            fleet.isPlacementDue = true
            return
        }
        task.markDone()
        task.placements.toList().forEach { fleet.stop(it, nowMillis, "done elsewhere") }
        fleet.isPlacementDue = true
    }

    private fun onFailed(
        task: OpenTask,
        run: Int,
        worker: FleetWorker,
        wasSuspect: Boolean,
        nowMillis: Long
    ) {
        // Failures of one run of a gang count once, for its first task. Long-running tasks always
        // restart.
        if (!task.step.spec.isLongRunning && !task.counted.recordFailure(run, worker.id)) return
        task.lastFailedWorkerId = worker.id
        // The worker was to be left alone: what fails there meanwhile tells nothing new.
        if (!wasSuspect) countFailure(worker, nowMillis)
        recorder.markChanged(task.step.workflow)
        fleet.endCandidates += task.step.workflow
    }

    private fun countFailure(worker: FleetWorker, nowMillis: Long) {
        worker.consecutiveFailures++
        if (worker.consecutiveFailures < SUSPECT_FAILURES) return
        val pause = SUSPECT_PAUSE_MILLIS shl
            minOf(worker.consecutiveFailures - SUSPECT_FAILURES, MAX_PAUSE_DOUBLINGS)
        worker.bars.set(StartHold.FAILURES_IN_ROW, nowMillis + pause)
        fleet.log(
            "worker-barred",
            worker.id,
            "failuresInRow" to worker.consecutiveFailures,
            "pauseMillis" to pause
        )
    }

    private companion object {
        /** Consecutive failures that make a worker suspect; a single one is blamed on the task. */
        const val SUSPECT_FAILURES = 2
        const val SUSPECT_PAUSE_MILLIS = 1_000L
        const val MAX_PAUSE_DOUBLINGS = 4
    }
}
