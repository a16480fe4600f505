/**
 * Chooses the worker for a task.
 *
 * Serving tasks are packed onto few workers. Tasks that use idle CPU go to the workers with the
 * most idle CPU on which the serving tasks keep enough headroom.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

internal class Placer(
    private val fleet: Fleet,
    private val obstacles: PlacementObstacles,
    private val reserve: ShortTaskReserve,
    private val neighbours: NeighbourAdmission
) {
    private val suspects = SuspectWorkers(fleet, obstacles)
    private val failedSearches = FailedSearches()
    private val failedSuspectSearches = FailedSearches()
    private var cursor = 0

    /** Begins a round, in which capacity only shrinks: no search that failed is repeated. */
    fun beginRound() {
        failedSearches.clear()
        failedSuspectSearches.clear()
        suspects.beginRound()
        obstacles.onRoomFreed()
        reserve.beginRound()
    }

    /** Gives up the room reserved for [task], which other tasks may take in this round. */
    fun cancelReservation(task: OpenTask) {
        val reserved = task.destination ?: return
        reserved.reservations.cancel(task)
        obstacles.onRoomFreed()
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
            cancelReservation(task)
            if (allow(reserved, task, nowMillis, yielded)) return reserved
        }
        val best = searchSoundOrNull(task, nowMillis) ?: searchSuspectOrNull(task, nowMillis)
        if (best != null) cancelReservation(task)
        return best
    }

    private fun allow(worker: FleetWorker, task: OpenTask, nowMillis: Long, freed: Resources) =
        if (suspects.mayTake(task, nowMillis)) {
            obstacles.allowDespiteSuspicion(worker, task, nowMillis, freed)
        } else {
            obstacles.allow(worker, task, nowMillis, freed)
        }

    /** Returns the best sound worker for [task], unless one no larger has found none this round. */
    private fun searchSoundOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        if (failedSearches.includes(task)) return null
        return searchOrNull(task, nowMillis) ?: null.also { failedSearches.add(task) }
    }

    /** Returns the best suspect worker for [task] if it may take one; searches as for sound ones. */
    private fun searchSuspectOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        if (!suspects.mayTake(task, nowMillis) || failedSuspectSearches.includes(task)) return null
        val eligible = eligibleSuspects(task, nowMillis)
        return bestOrNull(eligible, task, nowMillis)
            ?: null.also { failedSuspectSearches.add(task) }
    }

    private fun eligibleSuspects(task: OpenTask, nowMillis: Long): List<FleetWorker> {
        if (!suspects.mayTake(task, nowMillis)) return emptyList()
        return suspects.all(nowMillis).filter {
            obstacles.allowDespiteSuspicion(it, task, nowMillis) &&
                score(it, task, nowMillis) != null
        }
    }

    private fun searchOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val spec = task.step.spec
        if (spec.isLongRunning) return searchAllOrNull(task, nowMillis)
        if (spec.dataRack.isNotEmpty()) {
            val local = fleet.workersWith(spec.dataRack)
                .filter { obstacles.allow(it, task, nowMillis) }
            bestOrNull(local, task, nowMillis)?.let { return it }
        }
        return searchSomeOrNull(task, nowMillis)
    }

    /** Compares all workers, as long-running tasks are few and stay for long. */
    private fun searchAllOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val spec = task.step.spec
        if (!obstacles.mayFit(spec, nowMillis)) return null
        val eligible = fleet.candidates(spec).filter { obstacles.allow(it, task, nowMillis) }
        if (!spec.usesIdleCpu && reserve.isCrowded) {
            val withReserve = eligible.filter { reserve.isLeft(it, spec) }
            bestOrNull(withReserve, task, nowMillis)?.let { return it }
        }
        return bestOrNull(eligible, task, nowMillis)
    }

    /** Resumes where the last search ended, and compares up to [MAX_COMPARED_WORKERS] workers. */
    private fun searchSomeOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val candidates = fleet.candidates(task.step.spec)
        var best: FleetWorker? = null
        var bestScore = Double.NEGATIVE_INFINITY
        var compared = 0
        val first = if (candidates.size > MAX_COMPARED_WORKERS) cursor else 0
        for (i in candidates.indices) {
            if (compared == MAX_COMPARED_WORKERS) break
            cursor = (first + i) % candidates.size
            val worker = candidates[cursor]
            if (!obstacles.allow(worker, task, nowMillis)) continue
            val score = score(worker, task, nowMillis) ?: continue
            compared++
            if (score > bestScore) {
                best = worker
                bestScore = score
            }
        }
        return best
    }

    /** Returns the workers on which [task] may start now. */
    fun eligible(task: OpenTask, nowMillis: Long): List<FleetWorker> {
        if (!obstacles.mayFit(task.step.spec, nowMillis)) return emptyList()
        return fleet.candidates(task.step.spec).filter { isEligible(it, task, nowMillis) }
            .ifEmpty { eligibleSuspects(task, nowMillis) }
    }

    /** Whether there is a worker on which [task] may start now. */
    fun isEligibleAnywhere(task: OpenTask, nowMillis: Long): Boolean =
        obstacles.mayFit(task.step.spec, nowMillis) &&
            (
                fleet.candidates(task.step.spec).any { isEligible(it, task, nowMillis) } ||
                    eligibleSuspects(task, nowMillis).isNotEmpty()
                )

    private fun isEligible(worker: FleetWorker, task: OpenTask, nowMillis: Long): Boolean =
        obstacles.allow(worker, task, nowMillis) && score(worker, task, nowMillis) != null

    /**
     * Returns how many of the workers that [task] suits each hold keeps it off, and how many none
     * does.
     */
    fun countHolds(task: OpenTask, nowMillis: Long): Map<StartHold?, HeldWorkers> =
        fleet.candidates(task.step.spec).filter { obstacles.isSuitable(it, task) }
            .groupBy { holdOrNull(it, task, nowMillis) }
            .mapValues { (hold, workers) ->
                val ends = workers.mapNotNull { w -> hold?.let(w::holdEndMillisOrNull) }
                HeldWorkers(workers.size, ends.minOrNull())
            }

    private fun holdOrNull(worker: FleetWorker, task: OpenTask, nowMillis: Long): StartHold? =
        obstacles.obstacleOrNull(worker, task, nowMillis)
            ?: StartHold.NO_HEADROOM.takeIf { score(worker, task, nowMillis) == null }

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

    /** Whether [task] may start on [worker] once [replaced] has left that, unless it is null. */
    fun canMove(
        task: OpenTask,
        worker: FleetWorker,
        replaced: Placement?,
        nowMillis: Long
    ): Boolean {
        val freed = replaced?.task?.step?.spec?.demand ?: Resources.NONE
        return obstacles.allow(worker, task, nowMillis, freed)
    }

    /** Whether the room that is reserved for [task] is still taken by others. */
    fun isAwaitingRoom(task: OpenTask, nowMillis: Long): Boolean {
        val reserved = task.destination ?: return false
        val spec = task.step.spec
        val freed = spec.firmDemand + reserved.reservations.yieldedRoom(task)
        return fleet.acceptsStarts(reserved, nowMillis) &&
            !obstacles.leaveRoom(reserved, spec, freed)
    }

    /** Whether [task] has to wait for the room that is reserved for it, and takes no other. */
    fun isBoundToAwaitedRoom(task: OpenTask, nowMillis: Long): Boolean =
        task.destination?.reservations?.isFuture(task) == false && isAwaitingRoom(task, nowMillis)

    /** Returns the score of [worker] for [task], or null if serving tasks lack the headroom. */
    private fun score(worker: FleetWorker, task: OpenTask, nowMillis: Long): Double? {
        val spec = task.step.spec
        val spareMilliCpus = obstacles.spareMilliCpus(worker)
        val spare = spareMilliCpus.toDouble() / worker.sharedMilliCpus.coerceAtLeast(1)
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
        if (worker.id in task.counted.stalledOn) score -= FAILURE_PENALTY
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
        /** Number of eligible workers to compare; a larger sample gains little. */
        const val MAX_COMPARED_WORKERS = 48

        /** Weights relative to the idle share of a worker; only their order matters. */
        const val PACKING_BONUS = 2.0
        const val TIGHTNESS_WEIGHT = 0.5
        const val DATA_LOCALITY_BONUS = 5.0
        const val FAILURE_PENALTY = 10.0
    }
}
