/** A task that is, or may be, on a worker. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.Resources
import sycamoremast.coordination.statechart.StateChart

/** Where a placed task stands; see `task.scxml`. */
internal enum class LivePhase { RECORDING, STARTING, RUNNING, CHECKPOINTING, STOPPING, HELD, GONE }

/** The steps between the phases. */
internal enum class LiveStep { ORDER, CONFIRM, EVICT, STOP, FINISH, LEAVE }

/**
 * An attempt of the task [index] of [job] on [worker].
 *
 * [epoch] is the one under which it was ordered and [incarnation] that of the worker at that time.
 * [startedMillis] is null for a task that an earlier owner started.
 */
internal class LiveTask(
    val job: JobRow,
    val index: Int,
    val attempt: Int,
    val worker: WorkerRow,
    val resources: Resources,
    val startedMillis: Long?
) {
    val id: String = job.key.taskId(index)
    val isLong = job.isLong
    val rack = worker.slot.rack
    var phase = CHART.initial
        private set
    var epoch = worker.session.epoch
    var incarnation = worker.incarnation

    /** The number of the newest call when the worker confirmed the task. */
    var confirmedByCall = 0L

    /** When the next order to checkpoint or to stop is due, and how many were given. */
    var orderDueMillis = Long.MIN_VALUE
    var orders = 0

    /** Whether the worker's capacity is committed to the task. */
    var isCommitted = false

    /** Takes [step], which has to be one that the chart allows. */
    fun advance(step: LiveStep) {
        phase = checkNotNull(CHART.nextOrNull(phase, step)) { "$step does not follow $phase: $id" }
    }

    val checkpoint: Checkpoint? get() = job.checkpoints[index]

    companion object {
        /** The chart of the phases. */
        val CHART = StateChart.fromResource("task.scxml", LivePhase::class, LiveStep::class)
    }
}
