/**
 * Moves of long-running tasks from one worker to another.
 *
 * A move costs its task a stop and a start. Room is reserved on the destination first, so that no
 * task is stopped for room that another one takes.
 */
package sycamoremast.coordination.workflow

internal class TaskMoves(private val fleet: Fleet) {
    private val moving = ArrayList<OpenTask>()

    /** Whether as few tasks are on their way as may be away at the same time for others' benefit. */
    fun mayBegin(): Boolean {
        moving.removeAll { it.destination == null }
        return fleet.isSoleOwner &&
            fleet.isFleetReconciled() &&
            moving.size < maxOf(MIN_MOVES, fleet.workerList.size / WORKERS_PER_MOVE)
    }

    /** Whether the task of [placement] may be away for a moment for the benefit of others. */
    fun isMovable(placement: Placement, nowMillis: Long): Boolean {
        val step = placement.task.step
        return placement.isAtWork &&
            step.spec.isLongRunning &&
            !step.spec.isGang &&
            placement.task.destination == null &&
            nowMillis >= placement.startedMillis + MIN_STAY_MILLIS &&
            step.tasks.count { it !== placement.task && !it.isAtWork } < maxOf(step.spec.mayMiss, 1)
    }

    private val OpenTask.isAtWork get() = placements.any { it.isAtWork }

    private val Placement.isAtWork
        get() = phase == PlacementPhase.RUNNING && percent == Placement.FULL_PACE

    /** Stops [placement], whose task then starts on [destination]. */
    fun move(placement: Placement, destination: FleetWorker, reason: String, nowMillis: Long) {
        destination.reservations.add(placement.task, nowMillis)
        moving += placement.task
        fleet.log(
            "run-moved",
            placement.task.name.toString(),
            "run" to placement.run,
            "worker" to placement.worker.id,
            "destination" to destination.id,
            "reason" to reason
        )
        fleet.stop(placement, nowMillis, reason)
    }

    private companion object {
        /** One task in flight for so many workers, so that few are away at a time. */
        const val WORKERS_PER_MOVE = 8
        const val MIN_MOVES = 2

        /** Many times what a move costs its task. */
        const val MIN_STAY_MILLIS = 6_000L
    }
}
