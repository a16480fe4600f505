/** What an outside check reads of the tasks that ran on a stand-in worker. */
package sycamoremast.standins

import kotlinx.serialization.Serializable
import sycamoremast.coordination.TaskPhase

/**
 * One run of a task on [worker].
 *
 * [startedMillis] and [endedMillis] are readings of the machine's monotonic clock, which all
 * stand-ins on it share; a run without an end still goes on.
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
