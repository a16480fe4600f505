/** Every job and placed task of a shard, and the steps that a task goes through. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Resources
import sycamoremast.coordination.placement.FailureJudge
import sycamoremast.coordination.placement.FailureVerdict
import sycamoremast.coordination.placement.HeldShares
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

internal class TaskTable(
    private val shares: HeldShares,
    private val judge: FailureJudge,
    private val submit: (DocumentChange) -> Unit,
    private val note: (ShardAction) -> Unit
) {
    val jobs = LinkedHashMap<JobKey, JobRow>()

    /** The tasks that are to checkpoint or to stop. */
    val ending = LinkedHashSet<LiveTask>()
    var nowMillis = 0L

    /** Called for each task that has left its worker. */
    var onRemoved: (taskId: String) -> Unit = { }

    /** Whether something has changed since the last placement that may allow another. */
    var isPlacementDue = true

    /** When the next order to end a task is due. */
    val wakeMillis: Long
        get() = ending.filter { it.worker.session.fenced }.minOfOrNull { it.orderDueMillis }
            ?: Long.MAX_VALUE

    /** Whether a task was ordered of which its worker has not told yet. */
    val areStarting: Boolean
        get() = jobs.values.any { job ->
            job.live.values.any {
                it.phase == LivePhase.RECORDING || it.phase == LivePhase.STARTING
            }
        }

    fun clear() {
        jobs.clear()
        ending.clear()
        shares.clear()
    }

    /** Takes over the records of [document], and stops what they no longer allow to run. */
    fun sync(document: ShardDocument) {
        for (record in document.jobs) {
            val row = jobs[record.key]
            if (row == null) {
                jobs[record.key] = JobRow(record).also { it.waitingSinceMillis = nowMillis }
                isPlacementDue = true
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
                LivePhase.STOPPING, LivePhase.GONE -> Unit
                else -> stop(task)
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
        task.job.changeRackLoad(task.rack, 1)
        task.worker.slot.commit(task.resources)
        judge.started(task.job.key, task.worker.name)
        shares.hold(task.job.key.team, task.resources, task.isLong)
        task.isCommitted = true
    }

    fun remove(task: LiveTask) {
        if (task.phase != LivePhase.GONE) task.advance(LiveStep.LEAVE)
        if (task.job.live[task.index] === task) task.job.live.remove(task.index)
        if (task.worker.live[task.id] === task) task.worker.live.remove(task.id)
        ending -= task
        release(task)
        onRemoved(task.id)
    }

    /** Gives back what was committed to [task], which certainly no longer runs. */
    private fun release(task: LiveTask) {
        if (!task.isCommitted) return
        task.isCommitted = false
        task.job.changeRackLoad(task.rack, -1)
        task.worker.slot.release(task.resources)
        shares.release(task.job.key.team, task.resources, task.isLong)
        isPlacementDue = true
    }

    /** Stops [task]; its capacity stays committed until the worker confirms that. */
    fun stop(task: LiveTask) {
        task.advance(LiveStep.STOP)
        task.orderDueMillis = Long.MIN_VALUE
        ending += task
    }

    /** Checkpoints [task] and then stops it, so that it goes on elsewhere. */
    fun evict(task: LiveTask) {
        task.advance(LiveStep.EVICT)
        task.orders = 0
        task.orderDueMillis = Long.MIN_VALUE
        ending += task
    }

    /** Holds the result of [task] until its completion is durable. */
    fun finish(task: LiveTask) {
        val job = task.job
        if (job.isDurablyDecided(task.index)) return acknowledge(task)
        if (task.phase == LivePhase.HELD || !job.isOpen || job.isDecided(task.index)) return
        task.advance(LiveStep.FINISH)
        ending -= task
        release(task)
        judge.succeeded(task.worker.name)
        task.startedMillis?.let { job.expected = job.expected.withRun(nowMillis - it) }
        task.job.decide(task.index)
        submit(DocumentChange.FinishTasks(task.job.key, listOf(task.index)))
    }

    /** Tries [task], which failed, again or stops its job. */
    fun fail(task: LiveTask) {
        acknowledge(task)
        val job = task.job
        if (!job.isOpen || job.isDecided(task.index)) return
        val verdict = judge.failed(job.key, task.index, task.worker.name, nowMillis)
        if (isNeverRepeated(job)) {
            return end(job, "task ${task.index} failed on ${task.worker.name}")
        }
        when (verdict) {
            is FailureVerdict.StopJob -> return end(job, verdict.reason)

            is FailureVerdict.RetryAfterPause ->
                task.worker.slot.pausedUntilMillis = verdict.untilMillis

            is FailureVerdict.Quarantine ->
                note(ShardAction.Note("quarantine", task.worker.name, verdict.evidence))
        }
        job.requeue(task.index)
    }

    private fun end(job: JobRow, reason: String) {
        job.isEnding = true
        submit(DocumentChange.EndJob(job.key, JobState.FAILED, reason))
        settle(job)
    }

    fun acknowledge(task: LiveTask) {
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
        submit(DocumentChange.RecordUnknownOutcome(job.key, index, evidence))
    }

    /** Reports a loss once it is durable, so that no later owner can still see the task finish. */
    fun onLossDurable(change: DocumentChange.RecordUnknownOutcome) {
        val record = jobs[change.key]?.record ?: return
        if (change.index !in record.unknown) return
        note(ShardAction.ReportUnknown(change.key.taskId(change.index), change.evidence))
    }

    /** Reports the losses that an earlier owner recorded, who may have died before it told. */
    fun reportRecordedLosses() {
        for (record in jobs.values.map { it.record }) {
            record.unknown.toList().forEach {
                note(ShardAction.ReportUnknown(record.key.taskId(it), "lost by an earlier owner"))
            }
        }
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
        worker.clearForeign()
        worker.live.values
            .filter { it.phase != LivePhase.HELD }
            .forEach { gone(it, neverStarted = it.phase == LivePhase.RECORDING) }
    }

    fun isNeverRepeated(job: JobRow) = job.spec?.neverRepeat ?: true
}

/** Returns the amounts that a job's task needs, or nothing for a job that has ended. */
internal val JobRow.resources: Resources get() = spec?.resources ?: Resources.NONE
