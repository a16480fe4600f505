/** Chooses the worker on which a long-running task waits for short ones to end. */
package sycamoremast.coordination.workflow

internal class FutureRoom(
    private val fleet: Fleet,
    private val obstacles: PlacementObstacles,
    private val reserve: ShortTaskReserve
) {
    /**
     * Returns the worker that lacks least room for [task] of those that have enough once the tasks
     * that end soon have ended, or null if there is none.
     *
     * On a crowded fleet, those are preferred on which it leaves a reserve for short tasks.
     */
    fun chooseOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val spec = task.step.spec
        // Whether idle CPU suffices depends on the neighbours by then.
        if (spec.usesIdleCpu) return null
        val able = fleet.candidates(spec)
            .filter { obstacles.allow(it, task, nowMillis, freed = it.endingTaskDemand) }
        val preferred =
            if (reserve.isCrowded) {
                able.filter {
                    reserve.isLeft(it, spec, it.endingTaskDemand)
                }
            } else {
                able
            }
        return preferred.ifEmpty { able }.minByOrNull { it.missingShare(spec) }
    }

    /** Returns the share of its capacity that the worker lacks for a task of [spec]. */
    private fun FleetWorker.missingShare(spec: WorkflowStep): Double {
        val milliCpus = commitments.reservedMilliCpus + spec.demand.milliCpus - capacity.milliCpus
        val memoryMib = commitments.memoryMib + spec.demand.memoryMib - capacity.memoryMib
        return maxOf(
            milliCpus.toDouble() / capacity.milliCpus.coerceAtLeast(1),
            memoryMib.toDouble() / capacity.memoryMib.coerceAtLeast(1)
        )
    }
}
