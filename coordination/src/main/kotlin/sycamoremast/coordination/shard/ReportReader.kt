/**
 * What the workers' reports mean for the tasks of a shard.
 *
 * A task is taken to be gone from a worker only if that is certain: the worker reported a final
 * phase; or its report, asked for after the task was confirmed or under a later generation than its
 * start, lacks this attempt of the task; or the worker's lease has certainly lapsed.
 */
package sycamoremast.coordination.shard

import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerReport
import sycamoremast.coordination.record.JobKey

internal class ReportReader(private val tasks: TaskTable) {
    /** Takes in [report], which [worker] gave to the renewal [call] under [epoch]. */
    fun onReport(
        worker: WorkerRow,
        report: WorkerReport,
        call: Long,
        epoch: Long,
        restarted: Boolean
    ) {
        worker.clearForeign()
        report.tasks.forEach { observe(worker, it, call) }
        val reported = report.tasks.associate { it.taskId to it.attempt }
        worker.live.values
            .filter { reported[it.id] != it.attempt && it.phase != LivePhase.HELD }
            .filter { isCertainlyGone(it, call, epoch, restarted) }
            .forEach { tasks.gone(it, isNeverStarted(it, worker)) }
    }

    private fun isCertainlyGone(
        task: LiveTask,
        call: Long,
        epoch: Long,
        restarted: Boolean
    ): Boolean = when {
        task.phase == LivePhase.RECORDING -> false
        task.confirmedByCall > 0 -> restarted || task.confirmedByCall < call
        else -> task.epoch < epoch
    }

    private fun isNeverStarted(task: LiveTask, worker: WorkerRow) =
        task.confirmedByCall == 0L && task.incarnation == worker.incarnation

    /** Takes in what [worker] says of one task, in answer to the call number [call]. */
    fun observe(worker: WorkerRow, report: TaskReport, call: Long) {
        val task = worker.live[report.taskId]
        if (task != null && task.attempt == report.attempt) {
            observePlaced(task, report, call)
        } else if (task == null) {
            observeUnplaced(worker, report, call)
        }
    }

    private fun observePlaced(task: LiveTask, report: TaskReport, call: Long) {
        task.job.sawCheckpoint(task.index, report.checkpoint)
        when (report.phase) {
            TaskPhase.RUNNING -> {
                if (task.confirmedByCall == 0L) task.confirmedByCall = call
                if (task.phase == LivePhase.STARTING) task.advance(LiveStep.CONFIRM)
            }

            TaskPhase.FINISHED -> tasks.finish(task)

            TaskPhase.FAILED -> tasks.fail(task)

            TaskPhase.STOPPED -> {
                task.worker.acknowledged += task.id
                tasks.gone(task, neverStarted = false)
            }
        }
    }

    private fun observeUnplaced(worker: WorkerRow, report: TaskReport, call: Long) {
        val (key, index) = JobKey.parseTaskIdOrNull(report.taskId) ?: (null to 0)
        val job = tasks.jobs[key]
        val undecided = job != null && job.isOpen && !job.isDecided(index)
        val other = job?.live?.get(index)
        val wanted = undecided && (other == null || canSupersede(other, report))
        if (job != null && wanted) {
            job.sawAttempt(index, report.attempt)
            job.sawCheckpoint(index, report.checkpoint)
        }
        when {
            job == null -> dismiss(worker, report, isDurable = true)

            !wanted -> dismiss(worker, report, job.isDurablyDecided(index))

            report.phase == TaskPhase.STOPPED && !tasks.isNeverRepeated(job) ->
                worker.acknowledged += report.taskId

            else -> {
                other?.let(::supersede)
                val task = LiveTask(job, index, report.attempt, worker, report.resources, null)
                task.advance(LiveStep.ORDER)
                tasks.add(task)
                observePlaced(task, report, call)
            }
        }
    }

    /** A start that is still under way must not reach its worker after the task has finished. */
    private fun canSupersede(task: LiveTask, report: TaskReport) =
        report.phase == TaskPhase.FINISHED && task.confirmedByCall > 0

    /** Stops a task whose earlier attempt turns out to have finished. */
    private fun supersede(task: LiveTask) {
        task.job.live.remove(task.index)
        tasks.stop(task)
    }

    private fun dismiss(worker: WorkerRow, report: TaskReport, isDurable: Boolean) {
        when (report.phase) {
            TaskPhase.RUNNING -> worker.addForeign(report.taskId, report.resources)
            TaskPhase.FINISHED -> if (isDurable) worker.acknowledged += report.taskId
            else -> worker.acknowledged += report.taskId
        }
    }
}
