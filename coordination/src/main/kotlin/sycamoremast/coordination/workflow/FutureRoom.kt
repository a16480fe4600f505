/** Chooses the worker on which a long-running task waits for short ones to end. */
package sycamoremast.coordination.workflow

import kotlin.math.abs
import sycamoremast.coordination.Resources

/** Room on [worker] that is expected to be free in [waitMillis]. */
internal class ExpectedRoom(val worker: FleetWorker, val waitMillis: Long)

internal class FutureRoom(
    private val fleet: Fleet,
    private val obstacles: PlacementObstacles,
    private val reserve: ShortTaskReserve
) {
    /**
     * Returns the room for [task] that is expected first, of the workers that have enough once the
     * tasks that end soon have ended, or null if there is none.
     *
     * On a crowded fleet, the task waits a little longer for room on a worker on which it leaves a
     * reserve for short tasks.
     */
    fun chooseOrNull(task: OpenTask, nowMillis: Long): ExpectedRoom? {
        val spec = task.step.spec
        // Whether idle CPU suffices depends on the neighbours by then.
        if (spec.usesIdleCpu) return null
        return fleet.candidates(spec)
            .filter { obstacles.allow(it, task, nowMillis, freed = it.endingTaskDemand) }
            .map { ExpectedRoom(it, waitMillis(it, spec, nowMillis)) }
            .minWithOrNull(compareBy({ cost(it, spec) }, { it.worker.missingShare(spec) }))
    }

    private fun cost(room: ExpectedRoom, spec: WorkflowStep): Long {
        val leavesReserve = !reserve.isCrowded ||
            reserve.isLeft(room.worker, spec, room.worker.endingTaskDemand)
        return if (leavesReserve) room.waitMillis else room.waitMillis + RESERVE_WORTH_MILLIS
    }

    /** Returns when so many of the tasks that end soon have ended that one of [spec] fits. */
    private fun waitMillis(worker: FleetWorker, spec: WorkflowStep, nowMillis: Long): Long {
        val ending = worker.placements.values
            .filter { it.isLeaving || !it.task.step.spec.isLongRunning }
            .map { it.remainingMillis(nowMillis) to it.task.step.spec.firmDemand }
            .sortedBy { it.first }
        var freed = Resources.NONE
        for ((remainingMillis, demand) in ending) {
            freed += demand
            if (obstacles.leaveRoom(worker, spec, freed)) return remainingMillis
        }
        return 0
    }

    /**
     * Returns for how long the run is expected to go on. One that is overdue is expected to take as
     * long again as it is late.
     */
    private fun Placement.remainingMillis(nowMillis: Long): Long {
        if (isLeaving) return 0
        val left = task.step.spec.estimateMillis * (FULL_PERCENT - percent) / FULL_PERCENT
        return abs(left - (nowMillis - lastProgressMillis))
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

    private companion object {
        const val FULL_PERCENT = 100

        /** For how long a lost task may wait so that short tasks keep a reserve. */
        const val RESERVE_WORTH_MILLIS = 500L
    }
}
