/**
 * Chooses the workers on which suspects start, alone among exposed runs.
 *
 * Nothing else starts on such a worker until the suspect is cleared or has ended.
 */
package sycamoremast.coordination.workflow

internal class TrialPlacer(private val fleet: Fleet, private val placer: Placer) {
    /**
     * Returns the worker for the next run of [task], a suspect with [history], or null.
     *
     * If no worker without serving tasks and exposed runs has room for a while, it is one with few.
     */
    fun chooseOrNull(task: OpenTask, history: CrashHistory, nowMillis: Long): FleetWorker? {
        val reserved = task.destination
        placer.cancelReservation(task)
        val eligible = placer.eligible(task, nowMillis)
        if (eligible.isEmpty()) return null
        if (mayBegin()) {
            val safe = eligible.filter { it.servingCount == 0 && exposedCount(it) == 0 }
            val settled = safe.filter { it.isSettled(nowMillis) }.ifEmpty { safe }
            val best = settled.find { it === reserved }
                ?: placer.bestOrNull(settled, task, nowMillis)
            if (best != null) return best.takeIfUp(history, nowMillis)
        }
        val waitingSince = history.waitingSinceMillis
            ?: nowMillis.also { history.waitingSinceMillis = it }
        if (nowMillis < waitingSince + MAX_WAIT_MILLIS) return null
        // A crash beside other exposed runs proves nothing, so that more would follow.
        val next = eligible.find { it === reserved } ?: eligible
            .minWith(compareBy({ exposedCount(it) > 0 }, { it.servingCount }, ::exposedCount))
        return next.takeIfUp(history, nowMillis)
    }

    /**
     * Asks an idle worker, which may have gone unnoticed, for a report before a repeated suspect
     * starts.
     */
    private fun FleetWorker.takeIfUp(history: CrashHistory, nowMillis: Long): FleetWorker? {
        if (history.runs.size == 1 || isCertainlyUp(nowMillis)) return this
        isReportDue = true
        return null
    }

    /** Keeps other tasks from starting beside [placement], unless too many workers are kept so. */
    fun begin(placement: Placement, history: CrashHistory) {
        history.waitingSinceMillis = null
        if (!mayBegin()) return
        placement.worker.trial = placement
        fleet.log(
            "trial-begun",
            placement.task.name.toString(),
            "run" to placement.run,
            "worker" to placement.worker.id,
            "crashes" to history.runs.size,
            "exposedRuns" to exposedCount(placement.worker) - 1,
            "servingTasks" to placement.worker.servingCount
        )
    }

    private fun exposedCount(worker: FleetWorker) = worker.placements.values.count { it.mayCrash }

    private fun mayBegin(): Boolean = fleet.workerList.count { it.trial != null } <
        maxOf(1, fleet.workerList.size / WORKERS_PER_TRIAL)

    private companion object {
        /** Shorter than the time for which a task may wait while there is room. */
        const val MAX_WAIT_MILLIS = 1_000L

        /** The share of the fleet that trials may keep from other tasks. */
        const val WORKERS_PER_TRIAL = 4
    }
}
