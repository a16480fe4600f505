/** What callers and operators may learn about a workflow that ended as failed. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/**
 * Why a workflow failed: [reason] applies to [task].
 *
 * [runs] are the latest of the [runCount] runs that led to the decision, in order of their numbers.
 */
@Serializable
data class WorkflowFailure(
    val task: TaskName,
    val reason: FailureReason,
    val runs: List<Run>,
    val runCount: Int
) {
    /** The run [number], on [worker] or, as only its number is recorded for new owners, null. */
    @Serializable
    data class Run(val number: Int, val worker: String? = null) {
        override fun toString() = if (worker == null) "$number" else "$number@$worker"
    }

    companion object {
        /** The most runs that a failure names. */
        const val MAX_RUNS = 8

        /** Returns the failure of [task] in [runs], which contains each run's worker if known. */
        fun of(task: TaskName, reason: FailureReason, runs: Map<Int, String?>): WorkflowFailure {
            val latest = runs.toSortedMap().map { (number, worker) -> Run(number, worker) }
                .takeLast(MAX_RUNS)
            return WorkflowFailure(task, reason, latest, runs.size)
        }
    }
}
