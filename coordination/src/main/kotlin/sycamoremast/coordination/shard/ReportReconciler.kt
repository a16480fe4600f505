/**
 * Reconciles the state of a shard's tasks with the reports of its workers.
 *
 * An attempt is considered gone from a worker only in one of these cases:
 *
 * - The worker reported a final phase.
 * - The worker's report lacks the attempt and was requested after the attempt was confirmed, or
 *   under a later generation than its start.
 * - The worker's lease has certainly lapsed.
 */
package sycamoremast.coordination.shard

import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerReport
import sycamoremast.coordination.record.JobKey

internal class ReportReconciler(private val tasks: TaskTable) {
    /** Applies [report], which [worker] returned to the renewal [call] under [epoch]. */
    fun onReport(
        worker: WorkerRow,
        report: WorkerReport,
        call: Long,
        epoch: Long,
        restarted: Boolean
    ) {
        worker.clearOrphans()
        report.tasks.forEach { observe(worker, it, call) }
        val reported = report.tasks.associate { it.taskId to it.attempt }
        worker.activeAttempts.values
            .filter { reported[it.id] != it.attempt && it.phase != AttemptPhase.FINISHED }
            .filter { isCertainlyAbsent(it, call, epoch, restarted) }
            .forEach { tasks.removeAbsent(it, isNeverStarted(it, worker)) }
    }

    private fun isCertainlyAbsent(
        task: TaskAttempt,
        call: Long,
        epoch: Long,
        restarted: Boolean
    ): Boolean = when {
        task.phase == AttemptPhase.RECORDING_START -> false
        task.confirmedByCall > 0 -> restarted || task.confirmedByCall < call
        else -> task.epoch < epoch
    }

    private fun isNeverStarted(task: TaskAttempt, worker: WorkerRow) =
        task.confirmedByCall == 0L && task.incarnation == worker.incarnation

    /** Applies the [report] of one task that [worker] returned to the call [call]. */
    fun observe(worker: WorkerRow, report: TaskReport, call: Long) {
        val task = worker.activeAttempts[report.taskId]
        if (task != null && task.attempt == report.attempt) {
            observePlaced(task, report, call)
        } else if (task == null) {
            observeUnplaced(worker, report, call)
        }
    }

    private fun observePlaced(task: TaskAttempt, report: TaskReport, call: Long) {
        task.job.recordCheckpoint(task.index, report.checkpoint)
        when (report.phase) {
            TaskPhase.RUNNING -> {
                if (task.confirmedByCall == 0L) task.confirmedByCall = call
                if (task.phase == AttemptPhase.STARTING) task.advance(AttemptEvent.CONFIRM)
            }

            TaskPhase.FINISHED -> tasks.finish(task)

            TaskPhase.FAILED -> tasks.fail(task)

            TaskPhase.STOPPED -> {
                task.worker.acknowledged += task.id
                tasks.removeAbsent(task, neverStarted = false)
            }
        }
    }

    private fun observeUnplaced(worker: WorkerRow, report: TaskReport, call: Long) {
        val (key, index) = JobKey.parseTaskIdOrNull(report.taskId) ?: (null to 0)
        val job = tasks.jobs[key]
        val undecided = job != null && job.isOpen && !job.isDecided(index)
        val other = job?.activeAttempts?.get(index)
        val wanted = undecided && (other == null || canSupersede(other, report))
        if (job != null && wanted) {
            job.recordAttempt(index, report.attempt)
            job.recordCheckpoint(index, report.checkpoint)
        }
        when {
            job == null -> dismiss(worker, report, isDurable = true)

            !wanted -> dismiss(worker, report, job.isDurablyDecided(index))

            report.phase == TaskPhase.STOPPED && !tasks.isNeverRepeated(job) ->
                worker.acknowledged += report.taskId

            else -> {
                other?.let(::supersede)
                val task = TaskAttempt(job, index, report.attempt, worker, report.resources, null)
                task.advance(AttemptEvent.SEND_START)
                tasks.add(task)
                observePlaced(task, report, call)
            }
        }
    }

    /** A start order still in flight must not reach its worker after the task has finished. */
    private fun canSupersede(task: TaskAttempt, report: TaskReport) =
        report.phase == TaskPhase.FINISHED && task.confirmedByCall > 0

    /** Stops an attempt of a task of which an earlier attempt has finished. */
    private fun supersede(task: TaskAttempt) {
        task.job.activeAttempts.remove(task.index)
        tasks.stop(task)
    }

    private fun dismiss(worker: WorkerRow, report: TaskReport, isDurable: Boolean) {
        when (report.phase) {
            TaskPhase.RUNNING -> worker.addOrphan(report.taskId, report.resources)
            TaskPhase.FINISHED -> if (isDurable) worker.acknowledged += report.taskId
            else -> worker.acknowledged += report.taskId
        }
    }
}
