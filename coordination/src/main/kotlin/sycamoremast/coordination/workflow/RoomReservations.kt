/**
 * The room that is reserved on a worker for the next runs of tasks.
 *
 * A reservation counts as if its task ran already, so that nothing else starts in that room. It ends
 * with the start of the task, or after some seconds.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

/**
 * Room for a task that has to start by [untilMillis].
 *
 * If it [isFuture], short tasks may still take it, which end by themselves.
 */
private class Reservation(val untilMillis: Long, val isFuture: Boolean)

/** The reservations on [worker], in their order. */
internal class RoomReservations(private val worker: FleetWorker) {
    private val byTask = LinkedHashMap<OpenTask, Reservation>()

    /** The tasks for which room is reserved. */
    val tasks: Set<OpenTask> get() = byTask.keys

    /** Reserves room for [task] that is free, or will be once tasks that stop have ended. */
    fun add(task: OpenTask, nowMillis: Long) = add(task, nowMillis, isFuture = false)

    /** Reserves room for [task] that short tasks will leave when they end. */
    fun addFuture(task: OpenTask, nowMillis: Long) = add(task, nowMillis, isFuture = true)

    private fun add(task: OpenTask, nowMillis: Long, isFuture: Boolean) {
        byTask[task] = Reservation(nowMillis + StartHold.ROOM_AWAITED.boundMillis, isFuture)
        task.destination = worker
        worker.onReserved(task.step.spec)
    }

    /** Whether the room for [task] is such that short tasks will leave. */
    fun isFuture(task: OpenTask): Boolean = byTask[task]?.isFuture == true

    /**
     * Returns the future room of others that yields to [task], which has a reservation: room that is
     * reserved later, or any if the room of [task] is no future one.
     */
    fun yieldedRoom(task: OpenTask): Resources {
        val others = byTask.entries
        val later = if (isFuture(task)) others.dropWhile { it.key !== task }.drop(1) else others
        return later.filter { it.value.isFuture }
            .fold(Resources.NONE) { sum, entry -> sum + entry.key.step.spec.firmDemand }
    }

    /** Gives up the room reserved for [task]. */
    fun cancel(task: OpenTask) {
        if (byTask.remove(task) == null) return
        task.destination = null
        worker.onReservationCancelled(task.step.spec)
    }

    /** Gives up the reservations whose tasks have ended or did not start in time. */
    fun expire(nowMillis: Long) {
        if (byTask.isEmpty()) return
        byTask.filter { (task, reservation) ->
            nowMillis > reservation.untilMillis || !task.step.workflow.isOpen
        }.keys.forEach(::cancel)
    }

    /** Gives up the last reservations that won't fit even when the tasks that make room have ended. */
    fun cancelUnfit() {
        while (byTask.isNotEmpty() && !hasRoom()) cancel(byTask.keys.last())
    }

    /** Whether all that runs or is expected fits once the tasks that make room have ended. */
    private fun hasRoom(): Boolean {
        val awaitsShortTasks = byTask.values.any { it.isFuture }
        val leaving = worker.demand {
            it.isLeaving || (awaitsShortTasks && !it.task.step.spec.isLongRunning)
        }
        val commitments = worker.commitments
        val capacity = worker.capacity
        return commitments.reservedMilliCpus - leaving.milliCpus <= capacity.milliCpus &&
            commitments.memoryMib - leaving.memoryMib <= capacity.memoryMib &&
            commitments.accelerators - leaving.accelerators <= capacity.accelerators
    }
}
