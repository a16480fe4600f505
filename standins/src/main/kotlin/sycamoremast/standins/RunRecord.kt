/** The record of a run on a stand-in worker, for checks independent of the scheduler. */
package sycamoremast.standins

import kotlinx.serialization.Serializable
import sycamoremast.coordination.TaskPhase

/**
 * One run of a task on [worker].
 *
 * [startedMillis] and [endedMillis] are readings of the machine's monotonic clock, so that records
 * of all stand-ins on one machine are comparable. [endedMillis] is null while the task is running.
 */
@Serializable
data class RunRecord(
    val worker: String,
    val taskId: String,
    val attempt: Int,
    val epoch: Long,
    val startedMillis: Long,
    val wallStartMillis: Long,
    var endedMillis: Long? = null,
    var phase: TaskPhase = TaskPhase.RUNNING
)
