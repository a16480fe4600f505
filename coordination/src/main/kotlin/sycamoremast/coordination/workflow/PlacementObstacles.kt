/**
 * Tells what keeps a task off a worker: the state of the worker, a lack of room, or other tasks of
 * the same step.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

internal class PlacementObstacles(private val fleet: Fleet) {
    /** Whether nothing keeps [task] off [worker] once the room [freed] is free. */
    fun allow(
        worker: FleetWorker,
        task: OpenTask,
        nowMillis: Long,
        freed: Resources = Resources.NONE
    ): Boolean = obstacleOrNull(worker, task, nowMillis, freed) == null

    /** Returns why [task] may not start on [worker] once the room [freed] is free, or null. */
    private fun obstacleOrNull(
        worker: FleetWorker,
        task: OpenTask,
        nowMillis: Long,
        freed: Resources = Resources.NONE
    ): PlacementObstacle? {
        val spec = task.step.spec
        fleet.examinedWorkers++
        return when {
            !fleet.acceptsStarts(worker, nowMillis) -> PlacementObstacle.ACCEPTS_NO_STARTS

            !fleet.enforcesFencing(worker.ref) -> PlacementObstacle.NOT_FENCED

            !fleet.mayGrantLease(worker) -> PlacementObstacle.NO_LEASE

            !fleet.capacityReadings.isUsable(worker, nowMillis) ->
                PlacementObstacle.CAPACITY_OUTDATED

            worker.listing.service != task.step.workflow.queue.service ->
                PlacementObstacle.OTHER_SERVICE

            spec.requiredLabel.isNotEmpty() && spec.requiredLabel !in worker.listing.labels ->
                PlacementObstacle.LABEL_MISSING

            else -> missingRoomOrNull(worker, spec, freed) ?: when {
                spec.maxPerWorker > 0 && othersOfStep(worker, task) >= spec.maxPerWorker ->
                    PlacementObstacle.STEP_NOT_SPREAD

                task.name in worker.placements -> PlacementObstacle.TASK_PRESENT

                else -> null
            }
        }
    }

    /** Returns how many workers each obstacle keeps [task] off, and how many none does. */
    fun count(task: OpenTask, nowMillis: Long): Map<PlacementObstacle?, Int> =
        fleet.candidates(task.step.spec)
            .groupingBy { obstacleOrNull(it, task, nowMillis) }.eachCount()

    /** Returns how many other tasks of the step of [task] run or are expected on [worker]. */
    private fun othersOfStep(worker: FleetWorker, task: OpenTask): Int =
        worker.placements.values.count { it.task.step === task.step } +
            worker.expectedTasks.count { it !== task && it.step === task.step }

    /** Whether a task of [spec] fits on [worker] once the room [freed] has become free. */
    fun leaveRoom(worker: FleetWorker, spec: WorkflowStep, freed: Resources): Boolean =
        missingRoomOrNull(worker, spec, freed) == null

    /** Returns what [worker] lacks for a task of [spec] once the room [freed] is free, or null. */
    private fun missingRoomOrNull(
        worker: FleetWorker,
        spec: WorkflowStep,
        freed: Resources
    ): PlacementObstacle? {
        val room = worker.capacity + freed
        val used = worker.commitments
        val hasCpu = if (spec.usesIdleCpu) {
            used.reservedMilliCpus <= worker.capacity.milliCpus &&
                spec.demand.milliCpus <= spareMilliCpus(worker)
        } else {
            used.reservedMilliCpus + spec.demand.milliCpus <= room.milliCpus
        }
        return when {
            used.accelerators + spec.demand.accelerators > room.accelerators ->
                PlacementObstacle.ACCELERATORS_TAKEN

            used.memoryMib + spec.demand.memoryMib > room.memoryMib ->
                PlacementObstacle.MEMORY_TAKEN

            !hasCpu -> PlacementObstacle.CPU_TAKEN

            else -> null
        }
    }

    /** Returns the CPU of [worker] that its runs are expected to leave idle. */
    fun spareMilliCpus(worker: FleetWorker) =
        worker.capacity.milliCpus - worker.commitments.reservedMilliCpus -
            worker.commitments.opportunisticMilliCpus +
            worker.servingMilliCpus / SERVING_UTILIZATION_DIVISOR

    private companion object {
        /**
         * Serving tasks use about half of the CPU that they reserve, averaged over a load cycle.
         */
        const val SERVING_UTILIZATION_DIVISOR = 2
    }
}
