/** A task on a stand-in worker, simulated by a timer with checkpoints. */
package sycamoremast.standins

import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport

/** The state of the task that [order] started. */
internal class WorkerTask(val order: StartOrder, val record: RunRecord) {
    val command = TaskCommand.parse(order.command)
    var phase = TaskPhase.RUNNING
        private set
    var throttled = false
    private var checkpoint = order.resumeFrom
    private var doneMillis = (order.resumeFrom?.doneMillis ?: 0).toDouble()
    private var measuredUsage = Resources.NONE
    private var reportedUsage = Resources.NONE

    /** Advances the task by [elapsedMillis], slowed down by the factor [slowdown]. */
    fun advance(elapsedMillis: Long, slowdown: Double) {
        val speed = (if (throttled) THROTTLED_SPEED else 1.0) / slowdown
        doneMillis += elapsedMillis * speed
        val workMillis = order.workMillis * command.runtimePercent / PERCENT
        val sinceCheckpointMillis = doneMillis - (checkpoint?.doneMillis ?: 0)
        when {
            command.kind == TaskKind.FAILING -> phase = TaskPhase.FAILED
            doneMillis >= workMillis -> phase = TaskPhase.FINISHED
            sinceCheckpointMillis >= command.checkpointMillis -> saveCheckpoint()
        }
    }

    fun saveCheckpoint() {
        checkpoint = Checkpoint((checkpoint?.sequence ?: 0) + 1, doneMillis.toLong())
    }

    fun stop() {
        phase = TaskPhase.STOPPED
    }

    fun fail() {
        phase = TaskPhase.FAILED
    }

    /** Reports the usage of the previous call from now on, and measures the current usage. */
    fun updateUsage() {
        reportedUsage = measuredUsage
        measuredUsage = if (phase == TaskPhase.RUNNING) actualUsage() else Resources.NONE
    }

    fun report() = TaskReport(
        taskId = order.taskId,
        attempt = order.attempt,
        epoch = order.epoch,
        phase = phase,
        resources = order.resources,
        checkpoint = checkpoint,
        throttled = throttled,
        result = if (phase == TaskPhase.FINISHED) "${order.taskId} done" else null,
        usage = reportedUsage
    )

    private fun actualUsage(): Resources {
        val percent = if (throttled) command.usagePercent / 2 else command.usagePercent
        return Resources(
            order.resources.milliCpus * percent / PERCENT,
            order.resources.memoryMib * command.usagePercent / PERCENT,
            order.resources.accelerators
        )
    }

    companion object {
        private const val THROTTLED_SPEED = 0.5
        private const val PERCENT = 100
    }
}
