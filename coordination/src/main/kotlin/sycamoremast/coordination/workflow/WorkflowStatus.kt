/** What callers may learn about a workflow. */
package sycamoremast.coordination.workflow

/** The [phase] of a workflow, and why it failed if it did and that was recorded. */
data class WorkflowStatus(val phase: WorkflowPhase, val failure: WorkflowFailure? = null)
