/** Why a workflow has failed. */
package sycamoremast.coordination.workflow

/** The limit that a task has reached. */
enum class FailureReason { ATTEMPTS_EXHAUSTED, WORKERS_CRASHED }

/**
 * The [task] for which a workflow fails, with the runs that [reason] counts.
 *
 * [workers] are those that crashed under them, as far as this owner has seen it.
 */
data class WorkflowFailure(
    val task: TaskName,
    val reason: FailureReason,
    val runs: Set<Int>,
    val workers: Set<String>
)
