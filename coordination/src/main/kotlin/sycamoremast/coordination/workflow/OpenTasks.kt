/**
 * Limits how many tasks the owner keeps in memory.
 *
 * The tasks of a workflow are opened once there is room for them, and discarded once the workflow
 * and all its runs have ended. So the memory that the owner needs does not grow with the tasks that
 * callers submit. Workflows with many tasks leave half of the room to others.
 */
package sycamoremast.coordination.workflow

internal class OpenTasks(private val fleet: Fleet) {
    /** The number of tasks in memory. */
    var count = 0L
        private set
    private val limit = fleet.settings.maxOpenTasks

    /** Opens the tasks of all occurrences of [workflow] that are due, as far as there is room. */
    fun openDue(workflow: OpenWorkflow, unixMillis: Long) {
        while (workflow.hasDueOccurrence(unixMillis)) {
            if (!hasRoomFor(workflow.spec)) return holdBack(workflow)
            open(workflow)
        }
    }

    /**
     * Opens the tasks of the first [occurrences] of [workflow], whether there is room or not: an
     * earlier owner has started them, and so had room.
     */
    fun openStarted(workflow: OpenWorkflow, occurrences: Int) {
        val spec = workflow.spec
        if (!workflow.isOpen || spec.tasksPerOccurrence > limitFor(spec)) return
        val last = minOf(occurrences, spec.recurrence?.count ?: 1)
        while (workflow.occurrences.size < last) open(workflow)
    }

    /** Discards the tasks of [workflow] if it has ended and none of its runs is left. */
    fun discardIfEnded(workflow: OpenWorkflow) {
        if (workflow.isOpen || workflow.placedCount > 0) return
        count -= workflow.occurrences.size * workflow.spec.tasksPerOccurrence
        workflow.discardTasks()
    }

    private fun open(workflow: OpenWorkflow) {
        workflow.addOccurrence()
        workflow.isHeldBack = false
        count += workflow.spec.tasksPerOccurrence
        fleet.isPlacementDue = true
    }

    private fun hasRoomFor(spec: Workflow) = count + spec.tasksPerOccurrence <= limitFor(spec)

    private fun limitFor(spec: Workflow) =
        if (spec.tasksPerOccurrence > MANY_TASKS) limit / 2 else limit

    private fun holdBack(workflow: OpenWorkflow) {
        if (workflow.isHeldBack) return
        workflow.isHeldBack = true
        fleet.log(
            "workflow-held-back",
            workflow.id,
            "tasks" to workflow.spec.tasksPerOccurrence,
            "openTasks" to count,
            "limit" to limitFor(workflow.spec)
        )
    }

    private companion object {
        /** Several times the tasks of a usual workflow. */
        const val MANY_TASKS = 100L
    }
}
