/**
 * Logs why long-running tasks still wait for a worker.
 *
 * A line shows how many workers each obstacle excludes, and how many other tasks have started since
 * the last line, so that a lack of room can be told from the order of placement.
 */
package sycamoremast.coordination.workflow

internal class WaitingTasks(private val fleet: Fleet, private val obstacles: PlacementObstacles) {
    private var nextMillis = Long.MIN_VALUE
    private var lastStarts = 0L

    /** Logs the tasks that have waited longest, unless that was done recently. */
    fun step(nowMillis: Long) {
        if (nowMillis < nextMillis) return
        nextMillis = nowMillis + INTERVAL_MILLIS
        val startedSince = fleet.orderedStarts - lastStarts
        lastStarts = fleet.orderedStarts
        val waiting = fleet.openWorkflows.filter { it.isLongRunning }.flatMap { it.steps() }
            .filter { it.spec.isLongRunning && it.isReady }
            .flatMap { it.waiting }
            .filter { nowMillis - it.waitingSinceMillis >= LONG_WAIT_MILLIS }
        waiting.sortedWith(compareBy({ !it.hasRun }, { it.waitingSinceMillis })).take(MAX_LOGGED)
            .forEach { log(it, waiting.size, startedSince, nowMillis) }
    }

    private fun log(task: OpenTask, count: Int, startedSince: Long, nowMillis: Long) {
        val counts = obstacles.count(task, nowMillis)
        val workflow = task.step.workflow
        fleet.log(
            "task-waits",
            task.name.toString(),
            "waitedMillis" to nowMillis - task.waitingSinceMillis,
            "hasRun" to task.hasRun,
            "recovered" to workflow.isRecovered,
            "suspect" to (task.crashHistory != null),
            "reservedOn" to task.destination?.id,
            "milliCpus" to task.step.spec.demand.milliCpus,
            "memoryMib" to task.step.spec.demand.memoryMib,
            "suitableWorkers" to (counts[null] ?: 0),
            "obstacles" to counts.filterKeys { it != null }
                .entries.joinToString(",") { (obstacle, workers) -> "$obstacle:$workers" },
            "otherStarts" to startedSince,
            "waitingTasks" to count
        )
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val LONG_WAIT_MILLIS = 1_000L

        /** Bounds the volume of the log where many tasks wait. */
        const val MAX_LOGGED = 4
    }
}
