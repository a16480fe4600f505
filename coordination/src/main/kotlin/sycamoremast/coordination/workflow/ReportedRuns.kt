/**
 * Compares the runs that a worker reports with those that the owner has placed on it.
 *
 * A report proves that a run is absent only if the poll was sent after the last event that could
 * have started the run, as answers on several connections may overtake each other.
 */
package sycamoremast.coordination.workflow

internal class ReportedRuns(
    private val fleet: Fleet,
    private val recorder: Recorder,
    private val crashes: CrashLedger
) {
    /** Processes the running rows of [report], the answer of [worker] to a poll at [polledMillis]. */
    fun onReport(worker: FleetWorker, report: WorkerReport, polledMillis: Long, nowMillis: Long) {
        val running = report.running.associateBy { it.task }
        running.values.forEach { onRunning(worker, it, report.clockMillis, nowMillis) }
        worker.unknownRuns = running.keys.filterTo(HashSet()) { fleet.taskOrNull(it) == null }
        if (worker.unknownRuns.isNotEmpty()) {
            worker.nextPollMillis = nowMillis + UNKNOWN_RUN_POLL_MILLIS
        }
        for (placement in worker.placements.values.toList()) {
            if (report.mayOmitEnds || running[placement.task.name]?.run == placement.run) continue
            onAbsent(placement, polledMillis, nowMillis)
        }
    }

    private fun onRunning(
        worker: FleetWorker,
        row: RunningRow,
        clockMillis: Long,
        nowMillis: Long
    ) {
        val known = worker.placements[row.task]
        if (known != null && known.run == row.run) {
            known.recordProgress(row, nowMillis)
            crashes.onRunning(known, clockMillis)
            recorder.markBegun(known.task.step.workflow)
            return
        }
        val task = fleet.taskOrNull(row.task)
        val isWanted = task != null &&
            !task.isDone &&
            task.step.workflow.isOpen &&
            task.placements.isEmpty() &&
            known == null
        if (task == null || (known != null && known.run > row.run)) return stopUnknown(worker, row)
        crashes.onReported(task, row.run)
        // It was ordered by an earlier owner, longer ago than a takeover takes.
        val placement = Placement(task, worker, row.run, nowMillis).apply { isExposed = false }
        if (known == null) {
            worker.add(placement)
            task.place(placement)
        }
        placement.recordProgress(row, nowMillis)
        if (isWanted) {
            fleet.log("run-adopted", row.task.toString(), "run" to row.run, "worker" to worker.id)
            recorder.setPlace(task, worker)
            recorder.markBegun(task.step.workflow)
        } else {
            fleet.stop(placement, nowMillis, "not wanted")
        }
    }

    private fun stopUnknown(worker: FleetWorker, row: RunningRow) {
        if (row.task !in worker.unknownRuns) {
            fleet.log("run-unknown", row.task.toString(), "run" to row.run, "worker" to worker.id)
        }
        val order = StopOrder(worker.ref, worker.fencingToken, row.task, row.run)
        fleet.outbox += SchedulerAction.Stop(order)
    }

    private fun onAbsent(placement: Placement, polledMillis: Long, nowMillis: Long) {
        if (polledMillis <= placement.phaseSinceMillis) return
        when (placement.phase) {
            PlacementPhase.UNCONFIRMED -> fleet.stop(placement, nowMillis, "start unanswered")

            PlacementPhase.RUNNING -> {
                fleet.log(
                    "run-vanished",
                    placement.task.name.toString(),
                    "run" to placement.run,
                    "worker" to placement.worker.id
                )
                fleet.release(placement, nowMillis)
                recorder.markChanged(placement.task.step.workflow)
            }

            PlacementPhase.FENCED -> onFencedAbsent(placement, polledMillis, nowMillis)

            PlacementPhase.STARTING, PlacementPhase.STOPPING, PlacementPhase.RELEASED -> Unit
        }
    }

    /** Releases a stopped run once no end of it can be outstanding, as it may still take room. */
    private fun onFencedAbsent(placement: Placement, polledMillis: Long, nowMillis: Long) {
        val stopMillis = if (placement.wasSeen) fleet.settings.stopMillis else 0
        if (polledMillis >= placement.phaseSinceMillis + stopMillis) {
            fleet.release(placement, nowMillis)
        } else {
            placement.worker.nextPollMillis = nowMillis + FENCED_POLL_MILLIS
        }
    }

    private companion object {
        /** How long a worker has to end a run of an unknown task before it is polled again. */
        const val UNKNOWN_RUN_POLL_MILLIS = 100L

        /** Pause before a worker is polled again that lists neither a stopped run nor its end. */
        const val FENCED_POLL_MILLIS = 50L
    }
}
