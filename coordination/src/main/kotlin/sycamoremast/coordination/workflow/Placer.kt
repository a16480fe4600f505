/**
 * Chooses the worker for a task.
 *
 * Serving tasks are packed onto few workers. Tasks that use idle CPU go to the workers with the
 * most idle CPU on which the serving tasks keep enough headroom.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

internal class Placer(private val fleet: Fleet, private val neighbours: NeighbourAdmission) {
    private val unplaceableShapes = ArrayList<TaskShape>()
    private val unplaceableSteps = HashSet<OpenStep>()
    private var cursor = 0

    /** Begins a round, in which capacity only shrinks: no search that failed is repeated. */
    fun beginRound() {
        unplaceableShapes.clear()
        unplaceableSteps.clear()
    }

    /**
     * Returns the best worker for [task] at [nowMillis], or null if it fits on none.
     *
     * A worker with room reserved for it is taken once that is free. On a crowded fleet, a
     * long-running task prefers a worker on which it leaves a reserve. That is too small for another
     * long-running task, so short tasks can use it. If no worker has room for the reserve, the task
     * is placed without one.
     */
    fun chooseOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val reserved = task.destination
        if (reserved != null && !isAwaitingRoom(task, nowMillis)) {
            val yielded = reserved.reservations.yieldedRoom(task)
            reserved.reservations.cancel(task)
            if (isEligible(reserved, task, nowMillis, yielded)) return reserved
        }
        val shape = TaskShape.of(task.step)
        val isHopeless = task.step in unplaceableSteps ||
            unplaceableShapes.any { it.isNoLargerThan(shape) }
        if (isHopeless) return null
        val best = searchOrNull(task, nowMillis)
        if (best != null) {
            task.destination?.reservations?.cancel(task)
        } else {
            unplaceableSteps += task.step
            // With maxPerWorker set, that limit may be the reason rather than the task's shape.
            if (task.step.spec.maxPerWorker == 0) unplaceableShapes += shape
        }
        return best
    }

    private fun searchOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val spec = task.step.spec
        if (spec.isLongRunning) return searchAllOrNull(task, nowMillis)
        if (spec.dataRack.isNotEmpty()) {
            val local = fleet.workersWith(spec.dataRack).filter { isEligible(it, task, nowMillis) }
            bestOrNull(local, task, nowMillis)?.let { return it }
        }
        return searchSomeOrNull(task, nowMillis)
    }

    /** Compares all workers, as long-running tasks are few and stay for long. */
    private fun searchAllOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val spec = task.step.spec
        val eligible = candidates(spec).filter { isEligible(it, task, nowMillis) }
        if (!spec.usesIdleCpu && isCrowded()) {
            val withReserve = eligible.filter { leavesReserve(it, spec) }
            bestOrNull(withReserve, task, nowMillis)?.let { return it }
        }
        return bestOrNull(eligible, task, nowMillis)
    }

    /** Resumes where the last search ended, and compares up to [MAX_COMPARED_WORKERS] workers. */
    private fun searchSomeOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val candidates = candidates(task.step.spec)
        var best: FleetWorker? = null
        var bestScore = Double.NEGATIVE_INFINITY
        var compared = 0
        val first = if (candidates.size > MAX_COMPARED_WORKERS) cursor else 0
        for (i in candidates.indices) {
            if (compared == MAX_COMPARED_WORKERS) break
            cursor = (first + i) % candidates.size
            val worker = candidates[cursor]
            if (!isEligible(worker, task, nowMillis)) continue
            val score = score(worker, task, nowMillis) ?: continue
            compared++
            if (score > bestScore) {
                best = worker
                bestScore = score
            }
        }
        return best
    }

    private fun candidates(spec: WorkflowStep): List<FleetWorker> =
        if (spec.requiredLabel.isEmpty()) {
            fleet.workerList
        } else {
            fleet.workersWith(
                spec.requiredLabel
            )
        }

    /** Whether running and waiting long-running tasks leave little of the fleet to short ones. */
    private fun isCrowded(): Boolean {
        val capacity = fleet.workers.values.sumOf { it.capacity.milliCpus }
        return fleet.longRunningMilliCpus() > capacity * CROWDED_SHARE
    }

    private fun leavesReserve(
        worker: FleetWorker,
        spec: WorkflowStep,
        freed: Resources = Resources.NONE
    ): Boolean {
        val left = worker.capacity.milliCpus + freed.milliCpus -
            worker.commitments.reservedMilliCpus - spec.demand.milliCpus
        return left >= worker.capacity.milliCpus * SHORT_WORK_RESERVE
    }

    /** Returns the workers on which [task] may start now. */
    fun eligible(task: OpenTask, nowMillis: Long): List<FleetWorker> =
        candidates(task.step.spec).filter {
            isEligible(it, task, nowMillis) && score(it, task, nowMillis) != null
        }

    /** Returns the best of the [eligible] workers, or null if it suits none. */
    fun bestOrNull(eligible: List<FleetWorker>, task: OpenTask, nowMillis: Long): FleetWorker? {
        var best: FleetWorker? = null
        var bestScore = Double.NEGATIVE_INFINITY
        for (worker in eligible) {
            val score = score(worker, task, nowMillis) ?: continue
            if (score > bestScore) {
                best = worker
                bestScore = score
            }
        }
        return best
    }

    private fun isEligible(
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
    fun obstacles(task: OpenTask, nowMillis: Long): Map<PlacementObstacle?, Int> =
        candidates(task.step.spec).groupingBy { obstacleOrNull(it, task, nowMillis) }.eachCount()

    /** Whether [task] may start on [worker] once [replaced] has left that, unless it is null. */
    fun canMove(
        task: OpenTask,
        worker: FleetWorker,
        replaced: Placement?,
        nowMillis: Long
    ): Boolean {
        val freed = replaced?.task?.step?.spec?.demand ?: Resources.NONE
        return isEligible(worker, task, nowMillis, freed)
    }

    /**
     * Returns the worker that lacks least room for [task] of those that have enough once the tasks
     * that end soon have ended, or null if there is none.
     *
     * On a crowded fleet, those are preferred on which it leaves a reserve for short tasks.
     */
    fun nextWithRoomOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val spec = task.step.spec
        // Whether idle CPU suffices depends on the neighbours by then.
        if (spec.usesIdleCpu) return null
        val able = candidates(spec)
            .filter { isEligible(it, task, nowMillis, freed = it.endingTaskDemand()) }
        val preferred =
            if (isCrowded()) {
                able.filter {
                    leavesReserve(it, spec, it.endingTaskDemand())
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

    /** Whether the room that is reserved for [task] is still taken by others. */
    fun isAwaitingRoom(task: OpenTask, nowMillis: Long): Boolean {
        val reserved = task.destination ?: return false
        val spec = task.step.spec
        return fleet.acceptsStarts(reserved, nowMillis) &&
            !fits(reserved, spec, freed = spec.firmDemand + reserved.reservations.yieldedRoom(task))
    }

    /** Whether [task] has to wait for the room that is reserved for it, and takes no other. */
    fun isBoundToAwaitedRoom(task: OpenTask, nowMillis: Long): Boolean =
        task.destination?.reservations?.isFuture(task) == false && isAwaitingRoom(task, nowMillis)

    /** Returns how many other tasks of the step of [task] run or are expected on [worker]. */
    private fun othersOfStep(worker: FleetWorker, task: OpenTask): Int =
        worker.placements.values.count { it.task.step === task.step } +
            worker.expectedTasks.count { it !== task && it.step === task.step }

    /** Whether a task of [spec] fits on [worker] once the room [freed] has become free. */
    private fun fits(worker: FleetWorker, spec: WorkflowStep, freed: Resources): Boolean =
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

    private fun spareMilliCpus(worker: FleetWorker) =
        worker.capacity.milliCpus - worker.commitments.reservedMilliCpus -
            worker.commitments.opportunisticMilliCpus +
            worker.servingMilliCpus / SERVING_UTILIZATION_DIVISOR

    /** Returns the score of [worker] for [task], or null if serving tasks lack the headroom. */
    private fun score(worker: FleetWorker, task: OpenTask, nowMillis: Long): Double? {
        val spec = task.step.spec
        val spare = spareMilliCpus(worker).toDouble() / worker.sharedMilliCpus.coerceAtLeast(1)
        var score = when {
            spec.isServing -> servingScore(worker, spec, spare)
            spec.usesIdleCpu ->
                spare + (neighbours.scoreOrNull(worker, spec, nowMillis) ?: return null)
            worker.servingCount > 0 -> PACKING_BONUS + spare
            else -> spare
        }
        if (spec.dataRack.isNotEmpty() && spec.dataRack in worker.listing.labels) {
            score += DATA_LOCALITY_BONUS
        }
        if (task.lastFailedWorkerId == worker.id) score -= FAILURE_PENALTY
        if (worker.consecutiveFailures > 0) score -= FAILURE_PENALTY * worker.consecutiveFailures
        return score
    }

    /**
     * Returns a score that packs serving tasks tightly, and tasks of one image together.
     *
     * Workers without serving tasks stay free for tasks of any image on idle CPU and for short
     * tasks. On a worker with one serving image, neighbours have to suit that image only.
     */
    private fun servingScore(worker: FleetWorker, spec: WorkflowStep, spare: Double): Double {
        val serving = worker.colocation.serving
        val tightness = (1 - spare) * TIGHTNESS_WEIGHT
        if (serving.isEmpty()) return 1.0 + tightness
        val alike = serving.count { it.task.step.spec.image == spec.image }
        val isOneImage = alike == serving.size
        return if (isOneImage) PACKING_BONUS + tightness else alike / serving.size.toDouble()
    }

    private companion object {
        /** The share of a worker to leave to short tasks, about the size of one of them. */
        const val SHORT_WORK_RESERVE = 0.09

        /** Below this share, long-running tasks leave enough to short ones by themselves. */
        const val CROWDED_SHARE = 0.85

        /** Number of eligible workers to compare; a larger sample gains little. */
        const val MAX_COMPARED_WORKERS = 48

        /**
         * Serving tasks use about half of the CPU that they reserve, averaged over a load cycle.
         */
        const val SERVING_UTILIZATION_DIVISOR = 2

        /** Weights relative to the idle share of a worker; only their order matters. */
        const val PACKING_BONUS = 2.0
        const val TIGHTNESS_WEIGHT = 0.5
        const val DATA_LOCALITY_BONUS = 5.0
        const val FAILURE_PENALTY = 10.0
    }
}

/** The properties that decide whether a task fits; [image] is set only if it uses idle CPU. */
private data class TaskShape(
    val service: String,
    val label: String,
    val usesIdleCpu: Boolean,
    val image: String,
    val demand: Resources
) {
    /** Whether a task of shape [other] can't fit anywhere if a task of this shape can't. */
    fun isNoLargerThan(other: TaskShape): Boolean = service == other.service &&
        label == other.label &&
        usesIdleCpu == other.usesIdleCpu &&
        image == other.image &&
        demand.fitsIn(other.demand)

    companion object {
        fun of(step: OpenStep) = TaskShape(
            step.workflow.queue.service,
            step.spec.requiredLabel,
            step.spec.usesIdleCpu,
            if (step.spec.usesIdleCpu) step.spec.image else "",
            step.spec.demand
        )
    }
}
