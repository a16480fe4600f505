/**
 * Every job and placed task of a shard, and what the workers' reports mean for them.
 *
 * A task is taken to be gone from a worker only if that is certain: the worker reported a final
 * phase; or its report, asked for after the task was confirmed or under a later generation than its
 * start, lacks the task; or the worker's lease has certainly lapsed.
 */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Resources
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerReport
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

internal class TaskTable(
    private val settings: ShardSettings,
    private val submit: (DocumentChange) -> Unit,
    private val note: (ShardAction) -> Unit
) {
    val jobs = LinkedHashMap<JobKey, JobRow>()

    fun clear() = jobs.clear()

    /** Takes over the records of [document], and stops what they no longer allow to run. */
    fun sync(document: ShardDocument) {
        for (record in document.jobs) {
            val row = jobs[record.key]
            if (row == null) {
                jobs[record.key] = JobRow(record)
            } else if (row.record !== record) {
                row.takeRecord(record)
            }
        }
        if (jobs.size > document.jobs.size) {
            val known = document.jobs.mapTo(HashSet(), JobRecord::key)
            jobs.keys.retainAll(known)
        }
        jobs.values.filter { !it.isOpen && it.live.isNotEmpty() }.forEach { settle(it) }
    }

    /** Stops the tasks of a job that is at its end. */
    fun settle(job: JobRow) {
        for (task in job.live.values.toList()) {
            when (task.phase) {
                LivePhase.HELD -> if (job.record.state != JobState.ACCEPTED) acknowledge(task)
                LivePhase.RECORDING -> remove(task)
                LivePhase.STARTING, LivePhase.RUNNING -> task.phase = LivePhase.STOPPING
                LivePhase.STOPPING -> Unit
            }
        }
    }

    /** Lets the worker forget the results of [indices], which are durable. */
    fun onFinishDurable(key: JobKey, indices: List<Int>) {
        val job = jobs[key] ?: return
        indices.mapNotNull { job.live[it] }
            .filter { it.phase == LivePhase.HELD }
            .forEach { acknowledge(it) }
    }

    fun add(task: LiveTask) {
        task.job.live[task.index] = task
        task.worker.live[task.id] = task
        task.job.sawAttempt(task.index, task.attempt)
    }

    fun remove(task: LiveTask) {
        if (task.job.live[task.index] === task) task.job.live.remove(task.index)
        if (task.worker.live[task.id] === task) task.worker.live.remove(task.id)
    }

    /** Takes in [report], which [worker] gave to the renewal [call] under [epoch]. */
    fun onReport(
        worker: WorkerRow,
        report: WorkerReport,
        call: Long,
        epoch: Long,
        restarted: Boolean
    ) {
        worker.foreign.clear()
        report.tasks.forEach { observe(worker, it, call) }
        val reported = report.tasks.mapTo(HashSet()) { it.taskId }
        worker.live.values
            .filter { it.id !in reported && it.phase != LivePhase.HELD }
            .filter { isCertainlyGone(it, call, epoch, restarted) }
            .forEach { gone(it, isNeverStarted(it, worker)) }
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
        task.checkpoint = report.checkpoint ?: task.checkpoint
        task.job.sawCheckpoint(task.index, report.checkpoint)
        when (report.phase) {
            TaskPhase.RUNNING -> {
                if (task.confirmedByCall == 0L) task.confirmedByCall = call
                if (task.phase == LivePhase.STARTING) task.phase = LivePhase.RUNNING
            }

            TaskPhase.FINISHED -> finish(task)

            TaskPhase.FAILED -> {
                task.worker.acknowledged += task.id
                remove(task)
                fail(task)
            }

            TaskPhase.STOPPED -> {
                task.worker.acknowledged += task.id
                gone(task, neverStarted = false)
            }
        }
    }

    private fun observeUnplaced(worker: WorkerRow, report: TaskReport, call: Long) {
        val (key, index) = JobKey.parseTaskIdOrNull(report.taskId) ?: (null to 0)
        val job = jobs[key]
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

            report.phase == TaskPhase.STOPPED && !isNeverRepeated(job) ->
                worker.acknowledged += report.taskId

            else -> {
                other?.let(::supersede)
                val task = LiveTask(job, index, report.attempt, worker, report.resources)
                add(task)
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
        task.phase = LivePhase.STOPPING
    }

    private fun dismiss(worker: WorkerRow, report: TaskReport, isDurable: Boolean) {
        when (report.phase) {
            TaskPhase.RUNNING -> worker.foreign[report.taskId] = report.resources
            TaskPhase.FINISHED -> if (isDurable) worker.acknowledged += report.taskId
            else -> worker.acknowledged += report.taskId
        }
    }

    private fun finish(task: LiveTask) {
        val job = task.job
        if (job.isDurablyDecided(task.index)) return acknowledge(task)
        if (task.phase == LivePhase.HELD || !job.isOpen || job.isDecided(task.index)) return
        task.phase = LivePhase.HELD
        task.job.decide(task.index)
        submit(DocumentChange.FinishTasks(task.job.key, listOf(task.index)))
    }

    private fun fail(task: LiveTask) {
        val job = task.job
        if (!job.isOpen || job.isDecided(task.index)) return
        val failures = job.sawFailure(task.index)
        when {
            isNeverRepeated(job) -> end(job, "task ${task.index} failed on ${task.worker.name}")

            failures >= settings.attemptsPerTask ->
                end(job, "task ${task.index} failed $failures times")

            else -> job.requeue(task.index)
        }
    }

    private fun end(job: JobRow, reason: String) {
        job.isEnding = true
        submit(DocumentChange.EndJob(job.key, JobState.FAILED, reason))
        settle(job)
    }

    private fun acknowledge(task: LiveTask) {
        task.worker.acknowledged += task.id
        remove(task)
    }

    /** Takes [task] off its worker, where it certainly no longer runs. */
    fun gone(task: LiveTask, neverStarted: Boolean) {
        remove(task)
        val job = task.job
        if (!job.isOpen || job.isDecided(task.index)) return
        if (isNeverRepeated(job) && !neverStarted) {
            loseOutcome(job, task.index, "lost on ${task.worker.name}, attempt ${task.attempt}")
        } else {
            job.requeue(task.index)
        }
    }

    /** Records that the outcome of a never-repeated task can't be told. */
    fun loseOutcome(job: JobRow, index: Int, evidence: String) {
        job.decide(index)
        submit(DocumentChange.LoseOutcome(job.key, index))
        note(ShardAction.ReportUnknown(job.key.taskId(index), evidence))
    }

    /** Gives up the never-repeated tasks that an owner before [epoch] started and none runs. */
    fun loseUnfoundStarts(epoch: Long) {
        for (job in jobs.values.filter { it.isOpen && it.record.acceptedEpoch < epoch }) {
            job.record.starts
                .filter { it.index !in job.live && !job.isDecided(it.index) }
                .forEach { loseOutcome(job, it.index, "started on ${it.worker}") }
        }
    }

    /** Takes every task off [worker], whose lease has certainly lapsed. */
    fun waitedOut(worker: WorkerRow) {
        worker.foreign.clear()
        worker.live.values
            .filter { it.phase != LivePhase.HELD }
            .forEach { gone(it, neverStarted = it.phase == LivePhase.RECORDING) }
    }

    fun isNeverRepeated(job: JobRow) = job.spec?.neverRepeat ?: true
}

/** Returns the amounts that a job's task needs, or nothing for a job that has ended. */
internal val JobRow.resources: Resources get() = spec?.resources ?: Resources.NONE
