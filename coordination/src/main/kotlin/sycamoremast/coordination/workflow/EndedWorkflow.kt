/** What the owner keeps of a workflow that has ended. */
package sycamoremast.coordination.workflow

/** A workflow that ended as [phase]. */
internal class EndedWorkflow(val id: String, val phase: WorkflowPhase) {
    /** From when on its records may be deleted. */
    var dueMillis = Long.MAX_VALUE

    /** Whether the store also holds a cancellation of it. */
    var isCancelled = false

    /** How many entries of a transaction the deletion of its records takes. */
    val entries: Int get() = if (isCancelled) 3 else 2
}
