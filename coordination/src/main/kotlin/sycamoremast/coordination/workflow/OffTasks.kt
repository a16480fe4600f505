/**
 * Logs what keeps long-running tasks off that have not run for a while.
 *
 * A task is off until a worker has shown a run of it, however many starts have failed meanwhile. Its
 * lines come at doubling times, and tell what holds the task back itself and how many of the workers
 * that could take it each hold bars, and until when.
 */
package sycamoremast.coordination.workflow

internal class OffTasks(
    private val fleet: Fleet,
    private val placer: Placer,
    private val holds: TaskHolds
) {
    private var nextMillis = Long.MIN_VALUE

    /** How long each task had been off when it was last logged. */
    private val loggedMillis = HashMap<OpenTask, Long>()

    /** Logs the tasks that are due, unless that was done recently. */
    fun step(nowMillis: Long) {
        if (nowMillis < nextMillis) return
        nextMillis = nowMillis + INTERVAL_MILLIS
        val off = fleet.openWorkflows.filter { it.isLongRunning }.flatMap { it.steps() }
            .filter { it.spec.isLongRunning && it.isReady }
            .flatMap { it.tasks }
            .mapNotNull { task -> task.offSinceMillis?.let { OffTask(task, it, nowMillis) } }
            .filter { it.offMillis >= FIRST_MILLIS }
        loggedMillis.keys.retainAll(off.mapTo(HashSet()) { it.task })
        off.filter { it.offMillis >= (loggedMillis[it.task]?.times(2) ?: FIRST_MILLIS) }
            .sortedWith(compareBy({ !it.task.hasRun }, { it.sinceMillis }))
            .take(MAX_LOGGED)
            .forEach { log(it, off.size, nowMillis) }
    }

    private fun log(off: OffTask, count: Int, nowMillis: Long) {
        val task = off.task
        loggedMillis[task] = off.offMillis
        val onWorkers = placer.countHolds(task, nowMillis)
        val held = holds.heldOrNull(task, nowMillis)
        fleet.log(
            "task-off",
            task.name.toString(),
            "offMillis" to off.offMillis,
            "sinceMillis" to off.sinceMillis,
            "hasRun" to task.hasRun,
            "recovered" to task.step.workflow.isRecovered,
            "run" to task.lastRun,
            "place" to task.place,
            "heldBy" to held?.hold,
            "heldForMillis" to held?.endMillis?.let { it - nowMillis },
            "suitableWorkers" to (onWorkers[null]?.workers ?: 0),
            "workersHeldBy" to StartHold.entries.mapNotNull { hold ->
                onWorkers[hold]?.describe(hold, nowMillis)
            }.joinToString(","),
            "milliCpus" to task.step.spec.demand.milliCpus,
            "memoryMib" to task.step.spec.demand.memoryMib,
            "starts" to fleet.orderedStarts,
            "offTasks" to count
        )
    }

    private companion object {
        const val INTERVAL_MILLIS = 500L

        /** When a task is first logged: most run again sooner. */
        const val FIRST_MILLIS = 2_000L

        /** Bounds the volume of the log; the others are logged after the next interval. */
        const val MAX_LOGGED = 8
    }
}

/** A task without a run since [sinceMillis]. */
private class OffTask(val task: OpenTask, val sinceMillis: Long, nowMillis: Long) {
    val offMillis = nowMillis - sinceMillis
}

/** The number of [workers] that a hold bars from a task, and when the first bar ends if known. */
internal data class HeldWorkers(val workers: Int, val firstEndMillis: Long?) {
    fun describe(hold: StartHold, nowMillis: Long): String {
        val leftMillis = firstEndMillis?.let { (it - nowMillis).coerceAtLeast(0) }
        return listOfNotNull(hold, workers, leftMillis).joinToString(":")
    }
}
