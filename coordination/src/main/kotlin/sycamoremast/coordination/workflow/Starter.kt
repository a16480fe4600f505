/**
 * Places waiting tasks on workers and orders their starts; a gang starts as a whole or not at all.
 */
package sycamoremast.coordination.workflow

internal class Starter(
    private val fleet: Fleet,
    private val placer: Placer,
    private val neighbours: NeighbourAdmission,
    private val crashes: CrashLedger,
    private val places: TaskPlaces,
    private val orders: StartOrders
) {
    private val trials = TrialPlacer(fleet, placer)

    /** Begins a round of placement, in which capacity only shrinks. */
    fun beginRound() = placer.beginRound()

    /** Starts the waiting tasks of [step] that fit on a worker. */
    fun startWaiting(step: OpenStep, nowMillis: Long) {
        if (step.spec.isGang) {
            startGang(step, nowMillis)
            return
        }
        for (task in step.waiting.toList()) if (!startIfDue(task, nowMillis)) return
    }

    /** Starts [task] unless it has to wait; returns false if it may start but fits nowhere. */
    fun startIfDue(task: OpenTask, nowMillis: Long): Boolean {
        if (!isDue(task, nowMillis)) return true
        val history = task.crashHistory
        if (history != null) return startSuspectIfDue(task, history, nowMillis)
        val worker = placer.chooseOrNull(task, nowMillis) ?: return false
        if (places.isReadyOn(worker, task, nowMillis)) {
            orders.order(place(task, worker, nextRun(task), nowMillis), nowMillis)
        }
        return true
    }

    private fun isDue(task: OpenTask, nowMillis: Long): Boolean =
        nowMillis >= task.notBeforeMillis &&
            !placer.isBoundToAwaitedRoom(task, nowMillis) &&
            places.isFree(task)

    private fun nextRun(task: OpenTask) = maxOf(task.lastRun + 1, fleet.firstRun)

    private fun startSuspectIfDue(task: OpenTask, history: CrashHistory, nowMillis: Long): Boolean {
        if (!crashes.mayStart(task, nowMillis)) return true
        val worker = if (history.needsTrial) {
            trials.chooseOrNull(task, history, nowMillis)
        } else {
            placer.chooseOrNull(task, nowMillis)
        } ?: return placer.isEligibleAnywhere(task, nowMillis)
        if (!places.isReadyOn(worker, task, nowMillis)) return true
        val placement = place(task, worker, nextRun(task), nowMillis)
        if (history.needsTrial) trials.begin(placement, history)
        orders.order(placement, nowMillis)
        return true
    }

    /** Starts a gang if all of it fits, with one run number and one checkpoint for all members. */
    private fun startGang(step: OpenStep, nowMillis: Long) {
        if (!places.isFree(step.tasks.first())) return
        val isComplete = step.waiting.size == step.tasks.size &&
            step.tasks.all { nowMillis >= it.notBeforeMillis && crashes.mayStart(it, nowMillis) }
        if (!isComplete) return
        val run = maxOf(step.tasks.maxOf { it.lastRun } + 1, fleet.firstRun)
        val checkpoint = step.tasks.firstOrNull { it.checkpoint.isNotEmpty() }?.checkpoint.orEmpty()
        val placed = ArrayList<Placement>()
        for (task in step.tasks) {
            val worker = placer.chooseOrNull(task, nowMillis) ?: break
            placed += place(task, worker, run, nowMillis)
        }
        if (placed.size < step.tasks.size) {
            placed.forEach { fleet.release(it, nowMillis) }
            placer.beginRound()
            return
        }
        step.tasks.forEach { it.checkpoint = checkpoint }
        placed.forEach { orders.order(it, nowMillis) }
    }

    private fun place(task: OpenTask, worker: FleetWorker, run: Int, nowMillis: Long): Placement {
        val placement = Placement(task, worker, run, nowMillis)
        worker.add(placement)
        task.place(placement)
        neighbours.onPlaced(placement)
        return placement
    }
}
