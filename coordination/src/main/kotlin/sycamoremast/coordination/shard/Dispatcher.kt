/** Places waiting tasks on workers and orders their start. */
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
    private val interference: InterferenceWatch,
    private val ledger: DocumentLedger
) {
    private val order = queueOrder(shares)
    private val preemption = Preemption(tasks, workers)

    /** A job in one round of placement. */
    private class Entry(val job: JobRow, val waiting: WaitingJob)

    /**
     * Places what fits.
     *
     * Jobs accepted before [epoch] have to wait until the owner has [recovered], as their tasks may
     * still run somewhere.
     */
    fun place(epoch: Long, recovered: Boolean, nowMillis: Long, out: MutableList<ShardAction>) {
        if (!tasks.isPlacementDue) return
        val entries = tasks.jobs.values
            .filter { it.isOpen && (recovered || it.record.acceptedEpoch == epoch) }
            .filter { it.nextWaiting() != null }
            .filter { ledger.hasRoomForStart || !tasks.isNeverRepeated(it) }
            .mapTo(ArrayList()) { Entry(it, it.waiting(nowMillis)) }
        val tooLarge = HashSet<Resources>()
        repeat(MOST_STARTS) {
            entries.removeAll { it.waiting.isBarred(tooLarge) || it.job.nextWaiting() == null }
            val next = entries.minWithOrNull { a, b -> order.compare(a.waiting, b.waiting) }
            if (next == null) {
                tasks.isPlacementDue = false
                return
            }
            if (!placeOne(next, nowMillis, out)) {
                entries.remove(next)
                if (!next.waiting.isUrgent) tooLarge += next.waiting.need
            }
        }
    }

    private fun WaitingJob.isBarred(tooLarge: Set<Resources>) =
        (!isUrgent && need in tooLarge) || !shares.admits(this)

    private fun placeOne(entry: Entry, nowMillis: Long, out: MutableList<ShardAction>): Boolean {
        val job = entry.job
        val index = job.nextWaiting() ?: return false
        if (tasks.isNeverRepeated(job) && !ledger.hasRoomForStart) return false
        val id = job.key.taskId(index)
        val need = PlacementNeed(
            resources = job.resources,
            isUrgent = entry.waiting.isUrgent,
            rackLoad = job::rackLoad,
            penalty = { slot -> penalty(job, index, slot) },
            isExcluded = { slot -> isExcluded(slot, id, nowMillis) }
        )
        val worker = workers.index.choose(need, nowMillis)?.let { workers.row(it.name) }
        if (worker == null) {
            if (entry.waiting.isUrgent) {
                preemption.makeRoom(
                    entry.waiting,
                    job.waitingTasks,
                    nowMillis
                )
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
        return workers.row(slot.name)?.mayNotTake(id) ?: true
    }

    private fun start(
        job: JobRow,
        index: Int,
        worker: WorkerRow,
        nowMillis: Long,
        out: MutableList<ShardAction>
    ) {
        val attempt = job.attemptOf(index) + 1
        val task = LiveTask(job, index, attempt, worker, job.resources, nowMillis)
        job.waitingSinceMillis = nowMillis
        tasks.add(task)
        if (!tasks.isNeverRepeated(job)) {
            order(task, out)
            return
        }
        val start = TaskStart(index, attempt, worker.name, worker.incarnation.orEmpty())
        ledger.submit(DocumentChange.RecordStart(job.key, start))
    }

    /** Orders the start of a never-repeated task whose start record is durable. */
    fun onStartRecorded(change: DocumentChange.RecordStart, out: MutableList<ShardAction>) {
        val task = tasks.jobs[change.key]?.live?.get(change.start.index) ?: return
        if (task.phase != LivePhase.RECORDING || task.attempt != change.start.attempt) return
        if (task.job.isOpen && task.worker.isUsable) {
            order(task, out)
        } else {
            tasks.gone(task, neverStarted = true)
        }
    }

    private fun order(task: LiveTask, out: MutableList<ShardAction>) {
        val spec = task.job.spec ?: return
        task.advance(LiveStep.ORDER)
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
        /** The most starts after one event, so that answers are not kept waiting. */
        const val MOST_STARTS = 200
    }
}

/** Whether the worker still answers for an earlier attempt of the task [id]. */
private fun WorkerRow.mayNotTake(id: String) = id in acknowledged || id in foreign || id in live
