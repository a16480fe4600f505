/** A task that is, or may be, on a worker. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.Resources

/** Where a placed task stands. */
internal enum class LivePhase { RECORDING, STARTING, RUNNING, STOPPING, HELD }

/**
 * An attempt of the task [index] of [job] on [worker].
 *
 * [epoch] is the one under which it was ordered and [incarnation] that of the worker at that time.
 */
internal class LiveTask(
    val job: JobRow,
    val index: Int,
    val attempt: Int,
    val worker: WorkerRow,
    val resources: Resources
) {
    val id: String = job.key.taskId(index)
    var phase = LivePhase.STARTING
    var epoch = worker.session.epoch
    var incarnation = worker.incarnation
    var checkpoint: Checkpoint? = null

    /** The number of the newest call when the worker confirmed the task. */
    var confirmedByCall = 0L

    /** When the next stop order is due. */
    var stopDueMillis = Long.MIN_VALUE

    /** Whether the worker's capacity is still committed to the task. */
    val holdsResources: Boolean get() = phase != LivePhase.HELD
}
