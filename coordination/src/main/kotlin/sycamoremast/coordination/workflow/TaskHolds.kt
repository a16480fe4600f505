/** Tells what keeps a task from starting wherever it might: its last start, its past or its room. */
package sycamoremast.coordination.workflow

/** The [hold] that keeps a task from starting until [endMillis], or for a time that isn't known. */
internal data class TaskHold(val hold: StartHold, val endMillis: Long? = null)

internal class TaskHolds(
    private val fleet: Fleet,
    private val placer: Placer,
    private val places: TaskPlaces,
    private val crashes: CrashLedger
) {
    /** Returns what keeps [task] from starting on any worker, or null. */
    fun heldOrNull(task: OpenTask, nowMillis: Long): TaskHold? {
        val placement = task.placements.firstOrNull()
        return when {
            placement != null -> heldOrNull(placement)

            nowMillis < task.notBeforeMillis -> TaskHold(StartHold.PAUSED, task.notBeforeMillis)

            !places.isFree(task) -> {
                val place = task.place?.let { fleet.workers[it] }
                TaskHold(StartHold.EARLIER_OWNER, place?.lease?.lapsedByMillisOrNull)
            }

            !crashes.mayStart(task, nowMillis) ->
                TaskHold(StartHold.CRASHES_HELD, task.crashHistory?.heldUntilMillis)

            placer.isBoundToAwaitedRoom(task, nowMillis) -> TaskHold(StartHold.ROOM_AWAITED)

            places.isBeingRecorded(task) -> TaskHold(StartHold.PLACE_UNRECORDED)

            else -> null
        }
    }

    private fun heldOrNull(placement: Placement): TaskHold? {
        val worker = placement.worker
        return when (placement.phase) {
            PlacementPhase.STARTING -> TaskHold(
                if (worker.hasAwaitingStarts) {
                    StartHold.REPORT_AWAITED
                } else {
                    StartHold.START_PENDING
                }
            )

            PlacementPhase.UNCONFIRMED ->
                TaskHold(StartHold.START_UNANSWERED, worker.lease.lapsedByMillisOrNull)

            PlacementPhase.STOPPING, PlacementPhase.FENCED ->
                TaskHold(StartHold.RUN_STOPPING, worker.lease.lapsedByMillisOrNull)

            PlacementPhase.RUNNING -> TaskHold(
                StartHold.UNREACHABLE,
                worker.lease.lapsedByMillisOrNull
            )

            PlacementPhase.RELEASED -> null
        }
    }
}
