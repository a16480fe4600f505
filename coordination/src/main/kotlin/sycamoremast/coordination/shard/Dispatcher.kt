/** Places waiting tasks on workers and sends the start orders. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.placement.FailureTracker
import sycamoremast.coordination.placement.HeldShares
import sycamoremast.coordination.placement.PlacementNeed
import sycamoremast.coordination.placement.WaitingJob
import sycamoremast.coordination.placement.WorkerSlot
import sycamoremast.coordination.placement.queueOrder
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.TaskStart

internal class Dispatcher(
    private val tasks: TaskTable,
    private val workers: WorkerTable,
    private val shares: HeldShares,
    private val judge: FailureTracker,
    private val interference: InterferenceMonitor,
    private val ledger: DocumentLedger
) {
    private val jobOrder = queueOrder(shares)
    private val preemption = Preemption(tasks, workers)

    /** A job that is considered in one placement round. */
    private class Candidate(val job: JobRow, val waiting: WaitingJob)

    /**
     * Places waiting tasks in queue order and appends their start orders to [out].
     *
     * Jobs accepted before [epoch] are skipped until the owner [isRecovered], because their tasks
     * may still be running on workers that have not reported yet.
     */
    fun place(epoch: Long, isRecovered: Boolean, nowMillis: Long, out: MutableList<ShardAction>) {
        if (!tasks.isPlacementDue) return
        val candidates = tasks.jobs.values
            .filter { it.isOpen && (isRecovered || it.record.acceptedEpoch == epoch) }
            .filter { it.nextWaiting() != null }
            .filter { ledger.hasSpaceForStart || !tasks.isNeverRepeated(it) }
            .mapTo(ArrayList()) { Candidate(it, it.toWaitingJob(nowMillis)) }
        val unplaceable = HashSet<Resources>()
        repeat(MAX_STARTS_PER_EVENT) {
            candidates.removeAll {
                it.waiting.isBlocked(unplaceable) || it.job.nextWaiting() == null
            }
            val next = candidates.minWithOrNull { a, b -> jobOrder.compare(a.waiting, b.waiting) }
            if (next == null) {
                tasks.isPlacementDue = false
                return
            }
            if (!tryPlace(next, nowMillis, out)) {
                candidates.remove(next)
                if (!next.waiting.isUrgent) unplaceable += next.waiting.need
            }
        }
    }

    private fun WaitingJob.isBlocked(unplaceable: Set<Resources>) =
        (!isUrgent && need in unplaceable) || !shares.admits(this)

    private fun tryPlace(
        candidate: Candidate,
        nowMillis: Long,
        out: MutableList<ShardAction>
    ): Boolean {
        val job = candidate.job
        val index = job.nextWaiting() ?: return false
        if (tasks.isNeverRepeated(job) && !ledger.hasSpaceForStart) return false
        val id = job.key.taskId(index)
        val need = PlacementNeed(
            resources = job.resources,
            isUrgent = candidate.waiting.isUrgent,
            rackLoad = job::rackLoad,
            penalty = { slot -> penalty(job, index, slot) },
            isExcluded = { slot -> isExcluded(slot, id, nowMillis) }
        )
        val worker = workers.index.choose(need, nowMillis)?.let { workers.row(it.name) }
        if (worker == null) {
            if (candidate.waiting.isUrgent) {
                preemption.evictFor(candidate.waiting, job.waitingTasks, nowMillis)
            }
            return false
        }
        start(job, index, worker, nowMillis, out)
        return true
    }

    private fun penalty(job: JobRow, index: Int, slot: WorkerSlot): Double {
        val failed = if (judge.hasFailedOn(job.key, index, slot.name)) 1.0 else 0.0
        return failed + (workers.row(slot.name)?.let { interference.penalty(job, it) } ?: 0.0)
    }

    private fun isExcluded(slot: WorkerSlot, id: String, nowMillis: Long): Boolean {
        val isIdle = slot.committed == Resources.NONE
        if (judge.isBarred(slot.name, isIdle, nowMillis)) return true
        return workers.row(slot.name)?.hasEarlierAttemptOf(id) ?: true
    }

    private fun start(
        job: JobRow,
        index: Int,
        worker: WorkerRow,
        nowMillis: Long,
        out: MutableList<ShardAction>
    ) {
        val attempt = job.lastAttemptOf(index) + 1
        val task = TaskAttempt(job, index, attempt, worker, job.resources, nowMillis)
        job.waitingSinceMillis = nowMillis
        tasks.add(task)
        if (!tasks.isNeverRepeated(job)) {
            sendStart(task, out)
            return
        }
        val start = TaskStart(index, attempt, worker.name, worker.incarnation.orEmpty())
        ledger.submit(DocumentChange.RecordStart(job.key, start))
    }

    /** Sends the start order of a never-repeated task once its start record is durable. */
    fun onStartRecorded(change: DocumentChange.RecordStart, out: MutableList<ShardAction>) {
        val task = tasks.jobs[change.key]?.activeAttempts?.get(change.start.index) ?: return
        if (task.phase != AttemptPhase.RECORDING_START ||
            task.attempt != change.start.attempt
        ) {
            return
        }
        if (task.job.isOpen && task.worker.isUsable) {
            sendStart(task, out)
        } else {
            tasks.removeAbsent(task, neverStarted = true)
        }
    }

    private fun sendStart(task: TaskAttempt, out: MutableList<ShardAction>) {
        val spec = task.job.spec ?: return
        task.advance(AttemptEvent.SEND_START)
        task.epoch = task.worker.session.epoch
        task.incarnation = task.worker.incarnation
        val order = StartOrder(
            taskId = task.id,
            attempt = task.attempt,
            epoch = task.epoch,
            resources = task.resources,
            workMillis = spec.expectedMillis,
            resumeFrom = task.checkpoint,
            command = spec.command
        )
        out += ShardAction.Start(task.worker.name, order)
    }

    private companion object {
        /** The maximum number of starts per event, so that placement does not delay answers. */
        const val MAX_STARTS_PER_EVENT = 200
    }
}

/** Whether the worker has not yet discarded an earlier attempt of the task [id]. */
private fun WorkerRow.hasEarlierAttemptOf(id: String) =
    id in acknowledged || id in orphans || id in activeAttempts
