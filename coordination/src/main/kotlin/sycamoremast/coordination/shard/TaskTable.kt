/** The jobs of a shard with their active task attempts, and the transitions of these attempts. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Resources
import sycamoremast.coordination.placement.FailureAction
import sycamoremast.coordination.placement.FailureTracker
import sycamoremast.coordination.placement.HeldShares
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

internal class TaskTable(
    private val shares: HeldShares,
    private val judge: FailureTracker,
    private val submit: (DocumentChange) -> Unit,
    private val emit: (ShardAction) -> Unit
) {
    val jobs = LinkedHashMap<JobKey, JobRow>()

    /** The attempts that are to checkpoint or to stop. */
    val stoppingAttempts = LinkedHashSet<TaskAttempt>()
    var nowMillis = 0L

    /** Called for each attempt that has been removed from its worker. */
    var onRemoved: (taskId: String) -> Unit = { }

    /** Whether a change since the last placement round may allow more placements. */
    var isPlacementDue = true

    /** The time at which the next order to checkpoint or stop an attempt is due. */
    val wakeMillis: Long
        get() = stoppingAttempts.filter { it.worker.session.isFenced }
            .minOfOrNull { it.nextOrderMillis } ?: Long.MAX_VALUE

    /** Whether a worker has not yet confirmed the start of an attempt. */
    val hasStartingAttempts: Boolean
        get() = jobs.values.any { job ->
            job.activeAttempts.values.any {
                it.phase == AttemptPhase.RECORDING_START || it.phase == AttemptPhase.STARTING
            }
        }

    fun clear() {
        jobs.clear()
        stoppingAttempts.clear()
        shares.clear()
    }

    /** Applies the records of [document] and stops attempts of jobs that have ended. */
    fun sync(document: ShardDocument) {
        for (record in document.jobs) {
            val row = jobs[record.key]
            if (row == null) {
                jobs[record.key] = JobRow(record).also { it.waitingSinceMillis = nowMillis }
                isPlacementDue = true
            } else if (row.record !== record) {
                row.updateRecord(record)
            }
        }
        if (jobs.size > document.jobs.size) {
            val known = document.jobs.mapTo(HashSet(), JobRecord::key)
            jobs.keys.retainAll(known)
        }
        jobs.values.filter { !it.isOpen && it.activeAttempts.isNotEmpty() }
            .forEach { stopAttempts(it) }
    }

    /** Stops the attempts of a job that has ended or is ending. */
    fun stopAttempts(job: JobRow) {
        for (task in job.activeAttempts.values.toList()) {
            when (task.phase) {
                AttemptPhase.FINISHED ->
                    if (job.record.state != JobState.ACCEPTED) acknowledge(task)

                AttemptPhase.RECORDING_START -> remove(task)

                AttemptPhase.STOPPING, AttemptPhase.REMOVED -> Unit

                else -> stop(task)
            }
        }
    }

    /** Acknowledges the results of [indices] to their workers, now that they are durable. */
    fun onFinishDurable(key: JobKey, indices: List<Int>) {
        val job = jobs[key] ?: return
        indices.mapNotNull { job.activeAttempts[it] }
            .filter { it.phase == AttemptPhase.FINISHED }
            .forEach { acknowledge(it) }
    }

    fun add(task: TaskAttempt) {
        task.job.activeAttempts[task.index] = task
        task.worker.activeAttempts[task.id] = task
        task.job.recordAttempt(task.index, task.attempt)
        task.job.changeRackLoad(task.rack, 1)
        task.worker.slot.commit(task.resources)
        judge.recordStart(task.job.key, task.worker.name)
        shares.hold(task.job.key.team, task.resources, task.isLong)
        task.isCommitted = true
    }

    fun remove(task: TaskAttempt) {
        if (task.phase != AttemptPhase.REMOVED) task.advance(AttemptEvent.REMOVE)
        if (task.job.activeAttempts[task.index] === task) task.job.activeAttempts.remove(task.index)
        if (task.worker.activeAttempts[task.id] === task) task.worker.activeAttempts.remove(task.id)
        stoppingAttempts -= task
        release(task)
        onRemoved(task.id)
    }

    /** Releases the capacity committed to [task], which is certainly no longer running. */
    private fun release(task: TaskAttempt) {
        if (!task.isCommitted) return
        task.isCommitted = false
        task.job.changeRackLoad(task.rack, -1)
        task.worker.slot.release(task.resources)
        shares.release(task.job.key.team, task.resources, task.isLong)
        isPlacementDue = true
    }

    /** Stops [task]; its capacity stays committed until the worker confirms the stop. */
    fun stop(task: TaskAttempt) {
        task.advance(AttemptEvent.STOP)
        task.nextOrderMillis = Long.MIN_VALUE
        stoppingAttempts += task
    }

    /** Checkpoints [task] and then stops it, so that it resumes on another worker. */
    fun evict(task: TaskAttempt) {
        task.advance(AttemptEvent.EVICT)
        task.stopOrders = 0
        task.nextOrderMillis = Long.MIN_VALUE
        stoppingAttempts += task
    }

    /** Records the completion of [task]; the worker keeps the result until that is durable. */
    fun finish(task: TaskAttempt) {
        val job = task.job
        if (job.isDurablyDecided(task.index)) return acknowledge(task)
        if (task.phase == AttemptPhase.FINISHED || !job.isOpen || job.isDecided(task.index)) return
        task.advance(AttemptEvent.FINISH)
        stoppingAttempts -= task
        release(task)
        judge.recordSuccess(task.worker.name)
        task.startedMillis?.let { job.expected = job.expected.withRun(nowMillis - it) }
        task.job.decide(task.index)
        submit(DocumentChange.FinishTasks(task.job.key, listOf(task.index)))
    }

    /** Retries the failed [task] or stops its job. */
    fun fail(task: TaskAttempt) {
        acknowledge(task)
        val job = task.job
        if (!job.isOpen || job.isDecided(task.index)) return
        val verdict = judge.recordFailure(job.key, task.index, task.worker.name, nowMillis)
        if (isNeverRepeated(job)) {
            return failJob(job, "task ${task.index} failed on ${task.worker.name}")
        }
        when (verdict) {
            is FailureAction.StopJob -> return failJob(job, verdict.reason)

            is FailureAction.RetryAfterPause ->
                task.worker.slot.pausedUntilMillis = verdict.untilMillis

            is FailureAction.Quarantine ->
                emit(ShardAction.Note("quarantine", task.worker.name, verdict.evidence))
        }
        job.requeue(task.index)
    }

    private fun failJob(job: JobRow, reason: String) {
        job.isEnding = true
        submit(DocumentChange.EndJob(job.key, JobState.FAILED, reason))
        stopAttempts(job)
    }

    fun acknowledge(task: TaskAttempt) {
        task.worker.acknowledged += task.id
        remove(task)
    }

    /**
     * Removes [task] from its worker, where it is certainly not running.
     *
     * The task is requeued, unless it must not be repeated and may have started: then its outcome
     * is recorded as unknown.
     */
    fun removeAbsent(task: TaskAttempt, neverStarted: Boolean) {
        remove(task)
        val job = task.job
        if (!job.isOpen || job.isDecided(task.index)) return
        if (isNeverRepeated(job) && !neverStarted) {
            markOutcomeUnknown(
                job,
                task.index,
                "lost on ${task.worker.name}, attempt ${task.attempt}"
            )
        } else {
            job.requeue(task.index)
        }
    }

    /** Records that the outcome of a never-repeated task is unknown. */
    fun markOutcomeUnknown(job: JobRow, index: Int, evidence: String) {
        job.decide(index)
        submit(DocumentChange.RecordUnknownOutcome(job.key, index, evidence))
    }

    /** Reports an unknown outcome once it is durable, so that no later owner records a finish. */
    fun onUnknownOutcomeDurable(change: DocumentChange.RecordUnknownOutcome) {
        val record = jobs[change.key]?.record ?: return
        if (change.index !in record.unknown) return
        emit(ShardAction.ReportUnknown(change.key.taskId(change.index), change.evidence))
    }

    /** Reports the unknown outcomes recorded by an earlier owner, which may not have done so. */
    fun reportRecordedUnknownOutcomes() {
        for (record in jobs.values.map { it.record }) {
            record.unknown.toList().forEach {
                emit(ShardAction.ReportUnknown(record.key.taskId(it), "lost by an earlier owner"))
            }
        }
    }

    /** Marks recorded starts from before [epoch] as unknown if no worker reports the task. */
    fun markUnfoundStartsUnknown(epoch: Long) {
        for (job in jobs.values.filter { it.isOpen && it.record.acceptedEpoch < epoch }) {
            job.record.starts
                .filter { it.index !in job.activeAttempts && !job.isDecided(it.index) }
                .forEach { markOutcomeUnknown(job, it.index, "started on ${it.worker}") }
        }
    }

    /** Removes all unfinished attempts from [worker], whose lease has certainly lapsed. */
    fun removeAfterLeaseLapse(worker: WorkerRow) {
        worker.clearOrphans()
        worker.activeAttempts.values
            .filter { it.phase != AttemptPhase.FINISHED }
            .forEach { removeAbsent(it, neverStarted = it.phase == AttemptPhase.RECORDING_START) }
    }

    fun isNeverRepeated(job: JobRow) = job.spec?.neverRepeat ?: true
}

/** The resources that one task of the job needs, or none if the job has ended. */
internal val JobRow.resources: Resources get() = spec?.resources ?: Resources.NONE
