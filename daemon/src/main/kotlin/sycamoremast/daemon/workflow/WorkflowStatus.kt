/** What callers may learn about a workflow. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.workflow.WorkflowFailure
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress

/** The [phase] of a workflow, and why it failed if it did and that was recorded. */
data class WorkflowStatus(val phase: WorkflowPhase, val failure: WorkflowFailure? = null) {
    internal companion object {
        /** The status of an accepted workflow of which no progress is recorded. */
        val QUEUED = WorkflowStatus(WorkflowPhase.QUEUED)

        fun of(progress: WorkflowProgress) = WorkflowStatus(progress.phase, progress.failure)
    }
}
