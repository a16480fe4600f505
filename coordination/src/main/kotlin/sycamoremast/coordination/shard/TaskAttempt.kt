/** Attempts of tasks that are, or may be, on a worker. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.Resources
import sycamoremast.coordination.statechart.StateChart

/** The phases of an attempt; `task.scxml` defines the transitions. */
internal enum class AttemptPhase {
    RECORDING_START,
    STARTING,
    RUNNING,
    CHECKPOINTING,
    STOPPING,
    FINISHED,
    REMOVED
}

/** The events that move an attempt between phases. */
internal enum class AttemptEvent { SEND_START, CONFIRM, EVICT, STOP, FINISH, REMOVE }

/**
 * An attempt of the task [index] of [job] on [worker].
 *
 * [epoch] and [incarnation] are those of the worker session when the start order was sent.
 * [startedMillis] is null for an attempt that an earlier owner started.
 */
internal class TaskAttempt(
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

    /** The newest call number when the worker confirmed the task; 0 while it is unconfirmed. */
    var confirmedByCall = 0L

    /** The time of the next order to checkpoint or stop; [stopOrders] counts those sent. */
    var nextOrderMillis = Long.MIN_VALUE
    var stopOrders = 0

    /** Whether capacity on the worker is committed to this attempt. */
    var isCommitted = false

    /** Moves to the next phase; the chart must allow [event] in the current one. */
    fun advance(event: AttemptEvent) {
        phase =
            checkNotNull(CHART.nextOrNull(phase, event)) { "$event does not follow $phase: $id" }
    }

    val checkpoint: Checkpoint? get() = job.checkpoints[index]

    companion object {
        /** The state chart of an attempt. */
        val CHART = StateChart.fromResource("task.scxml", AttemptPhase::class, AttemptEvent::class)
    }
}
