/** What is recorded of a workflow's progress, so that it outlives the owner. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable
import sycamoremast.coordination.record.IndexSet

/** Where a workflow stands, as callers see it. */
@Serializable
enum class WorkflowPhase {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED;

    /** Whether nothing of the workflow runs or will run. */
    val isFinal: Boolean get() = this != QUEUED && this != RUNNING
}

/**
 * The recorded state of one workflow; steps are keyed `occurrence.step`, tasks with their index.
 *
 * [endedUnixMillis] is 0 until the workflow has ended.
 */
@Serializable
data class WorkflowProgress(
    val phase: WorkflowPhase,
    val doneTasks: Map<String, IndexSet> = emptyMap(),
    val failures: Map<String, TaskFailures> = emptyMap(),
    val checkpoints: Map<String, String> = emptyMap(),
    val hasBegun: Boolean = false,
    val endedUnixMillis: Long = 0
)

/**
 * The failed runs of a task.
 *
 * Runs up to [lastRun] are counted, so that an end that was recorded but not yet acknowledged is not
 * counted again by the next owner.
 */
@Serializable
data class TaskFailures(val count: Int, val lastRun: Int)
