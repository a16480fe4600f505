/**
 * Tells what keeps a task off a worker: the state of the worker, a lack of room, or other tasks of
 * the same step.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

internal class PlacementObstacles(private val fleet: Fleet) {
    private var largestFreeMilliCpus: Long? = null

    /** Forgets how much room there is, before a round or once room has become free within one. */
    fun onRoomFreed() {
        largestFreeMilliCpus = null
    }

    /** Whether a worker may have the CPU for a task of [spec]; if not, none has to be examined. */
    fun mayFit(spec: WorkflowStep, nowMillis: Long): Boolean {
        if (spec.usesIdleCpu) return true
        val largest = largestFreeMilliCpus
            ?: findLargest(nowMillis).also { largestFreeMilliCpus = it }
        return spec.demand.milliCpus <= largest
    }

    private fun findLargest(nowMillis: Long): Long {
        var largest = 0L
        for (worker in fleet.workerList) {
            fleet.examinedWorkers++
            val free = worker.capacity.milliCpus - worker.commitments.reservedMilliCpus
            if (free > largest && closedOrNull(worker, nowMillis) == null) largest = free
        }
        return largest
    }

    /** Whether nothing keeps [task] off [worker] once the room [freed] is free. */
    fun allow(
        worker: FleetWorker,
        task: OpenTask,
        nowMillis: Long,
        freed: Resources = Resources.NONE
    ): Boolean = worker.bars.suspicionOrNull(nowMillis) == null &&
        allowDespiteSuspicion(worker, task, nowMillis, freed)

    /** Whether nothing but a suspicion keeps [task] off [worker] once [freed] is free. */
    fun allowDespiteSuspicion(
        worker: FleetWorker,
        task: OpenTask,
        nowMillis: Long,
        freed: Resources = Resources.NONE
    ): Boolean {
        fleet.examinedWorkers++
        // On a full fleet, this alone excludes most workers, at the least cost.
        return missingRoomOrNull(worker, task.step.spec, freed) == null &&
            unusableOrNull(worker, task, nowMillis) == null &&
            presentOrNull(worker, task) == null
    }

    /** Returns the first reason why [task] may not start on [worker] now, or null. */
    fun obstacleOrNull(worker: FleetWorker, task: OpenTask, nowMillis: Long): StartHold? {
        fleet.examinedWorkers++
        return unusableOrNull(worker, task, nowMillis)
            ?: missingRoomOrNull(worker, task.step.spec, Resources.NONE)
            ?: presentOrNull(worker, task)
            ?: worker.bars.suspicionOrNull(nowMillis)
    }

    /** Returns why [worker] takes no start of [task] even if it is empty, or null. */
    private fun unusableOrNull(worker: FleetWorker, task: OpenTask, nowMillis: Long): StartHold? =
        closedOrNull(worker, nowMillis) ?: when {
            !isOfService(worker, task) -> StartHold.OTHER_SERVICE
            !hasLabel(worker, task) -> StartHold.LABEL_MISSING
            else -> null
        }

    private fun isOfService(worker: FleetWorker, task: OpenTask): Boolean =
        worker.listing.service == task.step.workflow.queue.service

    private fun hasLabel(worker: FleetWorker, task: OpenTask): Boolean {
        val label = task.step.spec.requiredLabel
        return label.isEmpty() || label in worker.listing.labels
    }

    /** Whether [task] may run on [worker] if nothing else does. */
    fun isSuitable(worker: FleetWorker, task: OpenTask): Boolean = isOfService(worker, task) &&
        hasLabel(worker, task) &&
        task.step.spec.demand.fitsIn(worker.capacity)

    /** Returns why [worker] takes no start of any task, or null; suspicions are not considered. */
    fun closedOrNull(worker: FleetWorker, nowMillis: Long): StartHold? =
        fleet.holdOrNull(worker, nowMillis) ?: when {
            !fleet.enforcesFencing(worker.ref) -> StartHold.NOT_FENCED
            !fleet.mayGrantLease(worker) -> StartHold.NO_LEASE
            !fleet.capacityReadings.isUsable(worker, nowMillis) -> StartHold.CAPACITY_OUTDATED
            else -> null
        }

    /** Returns which tasks on [worker] keep [task] off it, or null. */
    private fun presentOrNull(worker: FleetWorker, task: OpenTask): StartHold? {
        val limit = task.step.spec.maxPerWorker
        return when {
            limit > 0 && othersOfStep(worker, task) >= limit -> StartHold.STEP_NOT_SPREAD
            task.name in worker.placements -> StartHold.TASK_PRESENT
            else -> null
        }
    }

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
    ): StartHold? {
        val capacity = worker.capacity
        val used = worker.commitments
        val demand = spec.demand
        val hasCpu = if (spec.usesIdleCpu) {
            used.reservedMilliCpus <= capacity.milliCpus &&
                demand.milliCpus <= spareMilliCpus(worker)
        } else {
            used.reservedMilliCpus + demand.milliCpus <= capacity.milliCpus + freed.milliCpus
        }
        return when {
            used.accelerators + demand.accelerators > capacity.accelerators + freed.accelerators ->
                StartHold.ACCELERATORS_TAKEN

            used.memoryMib + demand.memoryMib > capacity.memoryMib + freed.memoryMib ->
                StartHold.MEMORY_TAKEN

            !hasCpu -> StartHold.CPU_TAKEN

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
