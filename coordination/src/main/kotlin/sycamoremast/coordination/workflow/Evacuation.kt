/**
 * Moves long-running tasks off workers that drain.
 *
 * A task that stays until its worker has left restarts only once the lease has lapsed.
 */
package sycamoremast.coordination.workflow

internal class Evacuation(
    private val fleet: Fleet,
    private val placer: Placer,
    private val moves: TaskMoves
) {
    /** Stops the long-running tasks on draining workers that have room elsewhere. */
    fun step(nowMillis: Long) {
        val draining = fleet.workerList.filter { it.listing.isDraining && it.isListed }
        if (draining.isEmpty()) return
        placer.beginRound()
        draining.flatMap { it.placements.values.toList() }
            .filter { isMovable(it) }
            .forEach { move(it, nowMillis) }
    }

    private fun isMovable(placement: Placement) = placement.phase == PlacementPhase.RUNNING &&
        placement.task.step.spec.isLongRunning &&
        !placement.task.step.spec.isGang &&
        placement.task.destination == null

    private fun move(placement: Placement, nowMillis: Long) {
        val destination = placer.chooseOrNull(placement.task, nowMillis) ?: return
        moves.move(placement, destination, "worker drains", nowMillis)
    }
}
