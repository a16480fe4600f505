/**
 * Records on which worker a long-running task may run before it starts there.
 *
 * A successor can't ask a worker that went with the last owner. The record of a task's place tells
 * whether the task may run on such a worker; if not, it needn't wait for that one. Short tasks and
 * gangs have no places, as a record before each start would cost them more than such a wait.
 */
package sycamoremast.coordination.workflow

internal class TaskPlaces(private val fleet: Fleet, private val recorder: Recorder) {
    private var isReconciled = false

    /** Workflows whose records lacked places, with the changes by which they have them. */
    private val completed = LinkedHashMap<OpenWorkflow, Long>()

    /** Updates what is known of earlier owners' runs, before a round of placement. */
    fun step() {
        isReconciled = fleet.isFleetReconciled()
        if (!isReconciled) return
        for (workflow in fleet.workflowsWithoutPlaces) {
            workflow.arePlacesKnown = true
            if (workflow.isOpen) recorder.markChanged(workflow)
            completed[workflow] = workflow.lastChange
        }
        fleet.workflowsWithoutPlaces.clear()
        if (fleet.arePlacesRecorded) return
        // An owner of a version without places may have left records with places of earlier ones.
        if (completed.any { (workflow, change) -> workflow.durableChange < change }) return
        completed.clear()
        fleet.arePlacesRecorded = true
        recorder.markRosterChanged()
    }

    /** Whether tasks of [workflow] may be free although other workers have not answered yet. */
    fun mayBeFree(workflow: OpenWorkflow): Boolean = !workflow.isRecovered ||
        isReconciled ||
        (workflow.isLongRunning && workflow.arePlacesKnown)

    /** Whether no run of [task], which waits, can exist that an earlier owner has ordered. */
    fun isFree(task: OpenTask): Boolean {
        val workflow = task.step.workflow
        if (!workflow.isRecovered || isReconciled) return true
        if (!task.hasRecordedPlace || !workflow.arePlacesKnown) return false
        // The roster names each worker to which a task may have been assigned.
        return task.place?.let { fleet.workers[it] }?.isAccountedFor ?: true
    }

    /** Whether the place that is set for [task] isn't durable yet. */
    fun isBeingRecorded(task: OpenTask): Boolean =
        task.hasRecordedPlace && task.step.workflow.durableChange < task.placeChange

    /**
     * Whether [task] may start on [worker] now, as its place is durable or needs no record.
     *
     * Otherwise the place is set, and room is reserved there until the record is durable.
     */
    fun isReadyOn(worker: FleetWorker, task: OpenTask, nowMillis: Long): Boolean {
        if (!task.hasRecordedPlace) return true
        recorder.setPlace(task, worker)
        if (!isBeingRecorded(task)) return true
        worker.reservations.add(task, nowMillis)
        return false
    }
}
