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
 * [failures] holds the numbers of each task's failed runs. Two owners may read the same end, and one
 * owner may read the ends of a task's runs on several workers in any order: the numbers tell which
 * of them are counted already.
 *
 * [endedUnixMillis] is 0 until the workflow has ended.
 */
@Serializable
data class WorkflowProgress(
    val phase: WorkflowPhase,
    val doneTasks: Map<String, IndexSet> = emptyMap(),
    val failures: Map<String, Set<Int>> = emptyMap(),
    val checkpoints: Map<String, String> = emptyMap(),
    val hasBegun: Boolean = false,
    val endedUnixMillis: Long = 0
)
