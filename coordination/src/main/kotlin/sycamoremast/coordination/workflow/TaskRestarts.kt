/**
 * Restarts long-running tasks that have lost their run, before any other task starts.
 *
 * The users of such a task are cut off until it runs again, whereas a short task is only late. A
 * long-running task also needs more room than a short one leaves when it ends. So if no worker has
 * room, it is reserved on the one on which short tasks are expected to free enough first.
 */
package sycamoremast.coordination.workflow

internal class TaskRestarts(
    private val fleet: Fleet,
    private val futureRoom: FutureRoom,
    private val starter: Starter
) {
    private var cursor = 0

    /** Restarts the lost tasks of [workflows] in their order, or reserves room for them. */
    fun step(workflows: List<OpenWorkflow>, nowMillis: Long) {
        val lost = workflows.filter { it.isLongRunning }.flatMap { it.steps() }
            .filter { it.spec.isLongRunning && !it.spec.isGang && it.hasReadyTasks }
            .flatMap { step -> step.waiting.filter { it.hasRun } }
        val unplaced =
            lost.filter { !starter.startIfDue(it, nowMillis) && it.destination == null }
        repeat(minOf(unplaced.size, MAX_SEARCHES)) {
            cursor = (cursor + 1) % unplaced.size
            reserveRoom(unplaced[cursor], nowMillis)
        }
    }

    private fun reserveRoom(task: OpenTask, nowMillis: Long) {
        val room = futureRoom.chooseOrNull(task, nowMillis) ?: return
        val worker = room.worker
        worker.reservations.addFuture(task, nowMillis)
        fleet.log(
            "room-reserved",
            task.name.toString(),
            "worker" to worker.id,
            "waitedMillis" to nowMillis - task.waitingSinceMillis,
            "expectedMillis" to room.waitMillis,
            "firm" to worker.commitments.reservedMilliCpus,
            "milliCpus" to worker.capacity.milliCpus,
            "memory" to worker.commitments.memoryMib
        )
    }

    private companion object {
        /** Bounds the cost of a round, as each search compares all workers. */
        const val MAX_SEARCHES = 4
    }
}
