/** Places waiting tasks on workers and orders their start. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.TaskStart

internal class Dispatcher(private val tasks: TaskTable) {
    /**
     * Places what fits on the [usable] workers.
     *
     * Jobs accepted before [epoch] have to wait until the owner has [recovered], as their tasks may
     * still run somewhere.
     */
    fun place(
        usable: List<WorkerRow>,
        epoch: Long,
        recovered: Boolean,
        submit: (DocumentChange) -> Unit,
        out: MutableList<ShardAction>
    ) {
        val ready = tasks.jobs.values
            .filter { it.isOpen && (recovered || it.record.acceptedEpoch == epoch) }
            .sortedByDescending { it.spec?.urgent == true }
        for (job in ready) {
            while (true) {
                val index = job.nextWaiting() ?: break
                val worker = choose(usable, job, index) ?: break
                start(job, index, worker, submit, out)
            }
        }
    }

    private fun choose(usable: List<WorkerRow>, job: JobRow, index: Int): WorkerRow? {
        val id = job.key.taskId(index)
        return usable
            .filter { id !in it.acknowledged && id !in it.foreign }
            .filter { (it.committed() + job.resources).fitsIn(it.capacity) }
            .maxByOrNull { it.capacity.minusFloored(it.committed()).milliCpus }
    }

    private fun start(
        job: JobRow,
        index: Int,
        worker: WorkerRow,
        submit: (DocumentChange) -> Unit,
        out: MutableList<ShardAction>
    ) {
        val task = LiveTask(job, index, job.attemptOf(index) + 1, worker, job.resources)
        tasks.add(task)
        if (!tasks.isNeverRepeated(job)) {
            order(task, out)
            return
        }
        task.phase = LivePhase.RECORDING
        val start = TaskStart(index, task.attempt, worker.name, worker.incarnation.orEmpty())
        submit(DocumentChange.RecordStart(job.key, start))
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
        task.phase = LivePhase.STARTING
        task.epoch = task.worker.session.epoch
        task.incarnation = task.worker.incarnation
        out += ShardAction.Start(
            task.worker.name,
            StartOrder(
                taskId = task.id,
                attempt = task.attempt,
                epoch = task.epoch,
                resources = task.resources,
                workMillis = spec.expectedMillis,
                resumeFrom = task.job.checkpoints[task.index],
                command = spec.command
            )
        )
    }
}
