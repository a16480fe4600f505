/** The durable progress of workflows, from which a new owner resumes. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable
import sycamoremast.coordination.record.IndexSet

/** The phase of a workflow, as callers see it. */
@Serializable
enum class WorkflowPhase {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED;

    /** Whether the workflow has ended, so that none of its tasks will start. */
    val isFinal: Boolean get() = this != QUEUED && this != RUNNING
}

/**
 * The recorded state of a workflow.
 *
 * Steps are keyed by `occurrence.step`, tasks by `occurrence.step.index`. [failures] contains the
 * numbers of each task's failed runs. Two owners may read the same end, and an owner may read the
 * ends of a task's runs from several workers in any order; the numbers show which are counted.
 * [crashes] contains the numbers of the runs under which the worker may have crashed, and
 * [explainedCrashes] those of them that the fleet's own trouble explains; records of earlier versions
 * explain none.
 *
 * [stalls] contains the numbers of the runs that were stopped as they made no progress; records of
 * earlier versions have none.
 *
 * [endedUnixMillis] is 0 until the workflow has ended. [failure] tells why it failed; records of
 * earlier versions have none.
 *
 * [places] contains the worker on which each long-running task may run, by its ID: a task that it
 * doesn't contain runs nowhere. It is null in records that don't tell, as those of earlier versions,
 * and holds only if the roster says that all owners record places.
 */
@Serializable
data class WorkflowProgress(
    val phase: WorkflowPhase,
    val doneTasks: Map<String, IndexSet> = emptyMap(),
    val failures: Map<String, Set<Int>> = emptyMap(),
    val checkpoints: Map<String, String> = emptyMap(),
    val hasBegun: Boolean = false,
    val endedUnixMillis: Long = 0,
    val failure: WorkflowFailure? = null,
    val crashes: Map<String, Set<Int>> = emptyMap(),
    val places: Map<String, String>? = null,
    val explainedCrashes: Map<String, Set<Int>> = emptyMap(),
    val stalls: Map<String, Set<Int>> = emptyMap()
) {
    /** The number of the first occurrences that include all tasks of which anything is recorded. */
    val startedOccurrences: Int
        get() = listOf(doneTasks, failures, checkpoints, crashes, places.orEmpty(), stalls)
            .flatMap { it.keys }
            .maxOfOrNull { it.substringBefore('.').toInt() + 1 } ?: 0

    val status: WorkflowStatus get() = WorkflowStatus(phase, failure)
}
