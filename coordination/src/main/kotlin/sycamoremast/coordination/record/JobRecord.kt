/** The record of a batch job in the platform's key-value service. */
package sycamoremast.coordination.record

import kotlinx.serialization.Serializable
import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.Resources

/** The permanent identity of a job. */
data class JobKey(val team: String, val name: String) {
    override fun toString() = "$team/$name"

    /** Returns the id of this job's task [index]. */
    fun taskId(index: Int) = "$team/$name/$index"

    companion object {
        /** Returns the job and the index in [taskId], or null if it is not a task id. */
        fun parseTaskIdOrNull(taskId: String): Pair<JobKey, Int>? {
            val parts = taskId.split("/")
            if (parts.size != TASK_ID_PARTS) return null
            val index = parts[2].toIntOrNull() ?: return null
            return JobKey(parts[0], parts[1]) to index
        }

        private const val TASK_ID_PARTS = 3
    }
}

/** A job's definition; [moveAfterMillis] lets its tasks move to another availability zone. */
@Serializable
data class JobSpec(
    val tasks: Int,
    val resources: Resources,
    val expectedMillis: Long,
    val neverRepeat: Boolean = false,
    val urgent: Boolean = false,
    val moveAfterMillis: Long? = null,
    val command: String = ""
) {
    init {
        require(tasks > 0) { "a job needs at least one task: $tasks" }
    }
}

/** The state of a job; all but [ACCEPTED] are final. */
@Serializable
enum class JobState { ACCEPTED, FINISHED, FAILED, CANCELLED, UNKNOWN }

/** The durable record that a never-repeated task is about to be started. */
@Serializable
data class TaskStart(val index: Int, val attempt: Int, val worker: String, val incarnation: String)

/**
 * The record of a job; [acceptedEpoch] is the epoch of the owner that accepted it.
 *
 * [unknown] lists the never-repeated tasks whose outcome can't be determined. [checkpoints] holds
 * some of the checkpoints that undecided tasks have saved, which need not be the latest. A record
 * in a final state has no [spec].
 */
@Serializable
data class JobRecord(
    val team: String,
    val name: String,
    val acceptedEpoch: Long,
    val tasks: Int,
    val state: JobState = JobState.ACCEPTED,
    val spec: JobSpec? = null,
    val finished: IndexSet = IndexSet.EMPTY,
    val unknown: IndexSet = IndexSet.EMPTY,
    val starts: List<TaskStart> = emptyList(),
    val checkpoints: Map<Int, Checkpoint> = emptyMap(),
    val reason: String = ""
) {
    /** The job's identity. */
    val key: JobKey get() = JobKey(team, name)

    /** Returns this record in the final [state] with [reason], cut to [REASON_LENGTH]. */
    fun ended(state: JobState, reason: String) = copy(
        state = state,
        spec = null,
        starts = emptyList(),
        checkpoints = emptyMap(),
        reason = reason.take(REASON_LENGTH)
    )

    /** Returns this record, ended if the outcome of every task is decided. */
    fun endedIfComplete(): JobRecord = when {
        state != JobState.ACCEPTED || finished.size + unknown.size < tasks -> this
        unknown.size == 0 -> ended(JobState.FINISHED, "")
        else -> ended(JobState.UNKNOWN, "the outcome of tasks $unknown is unknown")
    }

    companion object {
        /** The maximum length in characters of the reason for a job's end. */
        const val REASON_LENGTH = 100
    }
}
