/** What the platform's service keeps of a batch job. */
package sycamoremast.coordination.record

import kotlinx.serialization.Serializable
import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.Resources

/** Identifies a job for ever. */
data class JobKey(val team: String, val name: String) {
    override fun toString() = "$team/$name"

    /** Returns the id of this job's task [index]. */
    fun taskId(index: Int) = "$team/$name/$index"

    companion object {
        /** Returns the job and the index that [taskId] names, or null if it names none. */
        fun parseTaskIdOrNull(taskId: String): Pair<JobKey, Int>? {
            val parts = taskId.split("/")
            if (parts.size != TASK_ID_PARTS) return null
            val index = parts[2].toIntOrNull() ?: return null
            return JobKey(parts[0], parts[1]) to index
        }

        private const val TASK_ID_PARTS = 3
    }
}

/** What a job's tasks need; [moveAfterMillis] opts in to moving to another availability zone. */
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

/** Where a job stands; all but [ACCEPTED] are final. */
@Serializable
enum class JobState { ACCEPTED, FINISHED, FAILED, CANCELLED, UNKNOWN }

/** The durable record that a never-repeated task was about to be started. */
@Serializable
data class TaskStart(val index: Int, val attempt: Int, val worker: String, val incarnation: String)

/**
 * A job's record; [acceptedEpoch] is the epoch of the owner that accepted it.
 *
 * [unknown] lists the never-repeated tasks whose outcome can't be told. [checkpoints] are some of
 * those that undecided tasks have saved. A record in a final state keeps no [spec].
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

    /** Returns this record in the final [state] because of [reason]. */
    fun ended(state: JobState, reason: String) = copy(
        state = state,
        spec = null,
        starts = emptyList(),
        checkpoints = emptyMap(),
        reason = reason.take(REASON_LENGTH)
    )

    /** Returns this record, ended if every task's outcome is decided. */
    fun endedIfComplete(): JobRecord = when {
        state != JobState.ACCEPTED || finished.size + unknown.size < tasks -> this
        unknown.size == 0 -> ended(JobState.FINISHED, "")
        else -> ended(JobState.UNKNOWN, "the outcome of tasks $unknown is unknown")
    }

    companion object {
        /** The length to which the reason of a job's end is cut. */
        const val REASON_LENGTH = 100
    }
}
