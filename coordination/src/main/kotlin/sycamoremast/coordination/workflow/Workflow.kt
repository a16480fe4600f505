/**
 * Workflows as they are submitted.
 *
 * A workflow is immutable and consists of steps, each with a number of equal tasks. A step may
 * depend on other steps. A workflow with a [Recurrence] runs its steps once for each occurrence.
 */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable
import sycamoremast.coordination.Resources

/** A submitted workflow; [payload] is passed unchanged to every task. */
@Serializable
data class Workflow(
    val id: String,
    val queue: QueuePolicy,
    val payload: String,
    val steps: List<WorkflowStep>,
    val recurrence: Recurrence? = null,
    val submittedMillis: Long
) {
    init {
        require(steps.isNotEmpty()) { "a workflow needs a step: $id" }
    }

    /** The number of tasks of one occurrence. */
    val tasksPerOccurrence: Long get() = steps.sumOf { it.taskCount.toLong() }

    /** The number of tasks of all occurrences, at most [Long.MAX_VALUE]. */
    val totalTasks: Long
        get() {
            val occurrences = (recurrence?.count ?: 1).toLong()
            val each = tasksPerOccurrence
            return if (each > Long.MAX_VALUE / occurrences) Long.MAX_VALUE else each * occurrences
        }
}

/**
 * A step of [taskCount] equal tasks, which starts once all steps in [after] are done.
 *
 * [dataRack] is the rack that holds the data. [maxPerWorker] limits the tasks on one worker, with 0
 * for no limit. With [usesIdleCpu], the tasks use only CPU that other tasks leave idle, so their
 * demand for it does not count against a worker's capacity.
 */
@Serializable
data class WorkflowStep(
    val taskCount: Int,
    val demand: Resources,
    val estimateMillis: Long = 0,
    val after: List<Int> = emptyList(),
    val savesProgress: Boolean = false,
    val isGang: Boolean = false,
    val wantsSameRack: Boolean = false,
    val requiredLabel: String = "",
    val dataRack: String = "",
    val maxPerWorker: Int = 0,
    val mayRunCopies: Boolean = false,
    val isLongRunning: Boolean = false,
    val image: String = "",
    val targetTailMillis: Long = 0,
    val usesIdleCpu: Boolean = false,
    val mayMiss: Int = 0
) {
    init {
        require(taskCount > 0) { "taskCount must be positive: $taskCount" }
    }

    /** What a task takes of a worker's capacity. */
    val firmDemand: Resources get() = if (usesIdleCpu) demand.copy(milliCpus = 0) else demand

    /** Whether the step's tasks serve requests within a target tail latency. */
    val isServing: Boolean get() = isLongRunning && targetTailMillis > 0
}

/** Runs the steps [count] times, the first at [startUnixMillis], each [intervalMillis] later. */
@Serializable
data class Recurrence(val startUnixMillis: Long, val intervalMillis: Long, val count: Int) {
    init {
        require(count > 0) { "count must be positive: $count" }
    }

    /** Returns when occurrence number [occurrence], counted from 0, is due. */
    fun dueUnixMillis(occurrence: Int): Long = startUnixMillis + occurrence * intervalMillis
}

/** The scheduling policy of a queue; [priority] 0 is the highest. */
@Serializable
data class QueuePolicy(
    val name: String,
    val service: String,
    val priority: Int = 0,
    val maxAttempts: Int = DEFAULT_MAX_ATTEMPTS,
    val stretch: Double = DEFAULT_STRETCH,
    val targetLatencyMillis: Long = 0
) {
    companion object {
        /**
         * The number of failed runs of a task that fails its workflow, unless the queue sets it.
         */
        const val DEFAULT_MAX_ATTEMPTS = 3

        /**
         * The factor on the critical path in the target completion time, unless the queue sets it.
         */
        const val DEFAULT_STRETCH = 2.0
    }
}
