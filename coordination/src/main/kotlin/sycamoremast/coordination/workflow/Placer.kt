/**
 * Chooses the worker for a task.
 *
 * Serving tasks are packed on few workers. Tasks that use idle processors go where most of these are
 * left and where the serving tasks keep enough headroom.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

internal class Placer(private val fleet: Fleet, private val sharing: Sharing) {
    private val refused = ArrayList<TaskShape>()
    private var cursor = 0

    /** Begins a round, in which room only shrinks: what found none is not searched for again. */
    fun beginRound() = refused.clear()

    /**
     * Returns the best worker for [task] at [nowMillis], or null if none has room.
     *
     * On a crowded fleet a long-running task prefers a worker on which it leaves some room for short
     * ones: room that is too little for another long-running task stays theirs. It is never held
     * back where there is room.
     */
    fun chooseOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val shape = TaskShape.of(task.step)
        if (refused.any { it.isNoLargerThan(shape) }) return null
        val best = searchOrNull(task, nowMillis)
        // A bound on the tasks of one worker may be what kept the task from it.
        if (best == null && task.step.spec.maxPerWorker == 0) refused += shape
        return best
    }

    private fun searchOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val spec = task.step.spec
        if (spec.isLongRunning) return searchAllOrNull(task, nowMillis)
        if (spec.dataRack.isNotEmpty()) {
            val near = fleet.workersWith(spec.dataRack).filter { mayRun(it, task, nowMillis) }
            bestOrNull(near, task, nowMillis)?.let { return it }
        }
        return searchSomeOrNull(task, nowMillis)
    }

    /** Long-running tasks are few and stay long: all workers are compared. */
    private fun searchAllOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val spec = task.step.spec
        val able = candidates(spec).filter { mayRun(it, task, nowMillis) }
        if (!spec.usesIdleCpu && isCrowded()) {
            val roomy = able.filter { leavesRoom(it, spec) }
            bestOrNull(roomy, task, nowMillis)?.let { return it }
        }
        return bestOrNull(able, task, nowMillis)
    }

    /** Looks, from where the last search ended, until [COMPARED] workers have room. */
    private fun searchSomeOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        val candidates = candidates(task.step.spec)
        var best: FleetWorker? = null
        var bestScore = Double.NEGATIVE_INFINITY
        var compared = 0
        val first = if (candidates.size > COMPARED) cursor else 0
        for (i in candidates.indices) {
            if (compared == COMPARED) break
            cursor = (first + i) % candidates.size
            val worker = candidates[cursor]
            if (!mayRun(worker, task, nowMillis)) continue
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

    /** Whether long-running tasks, with those that wait, leave little of the fleet to short ones. */
    private fun isCrowded(): Boolean {
        val capacity = fleet.workers.values.sumOf { it.capacity.milliCpus }
        return fleet.longRunningMilliCpus() > capacity * CROWDED_SHARE
    }

    private fun leavesRoom(worker: FleetWorker, spec: WorkflowStep): Boolean {
        val left = worker.capacity.milliCpus - worker.firmMilliCpus - spec.demand.milliCpus
        return left >= worker.capacity.milliCpus * SHORT_WORK_RESERVE
    }

    private fun bestOrNull(able: List<FleetWorker>, task: OpenTask, nowMillis: Long): FleetWorker? {
        var best: FleetWorker? = null
        var bestScore = Double.NEGATIVE_INFINITY
        for (worker in able) {
            val score = score(worker, task, nowMillis) ?: continue
            if (score > bestScore) {
                best = worker
                bestScore = score
            }
        }
        return best
    }

    private fun mayRun(worker: FleetWorker, task: OpenTask, nowMillis: Long): Boolean {
        val spec = task.step.spec
        fleet.examinedWorkers++
        return worker.mayStart(nowMillis) &&
            fleet.isFenced(worker.ref) &&
            worker.listing.service == task.step.workflow.queue.service &&
            (spec.requiredLabel.isEmpty() || spec.requiredLabel in worker.listing.labels) &&
            hasRoom(worker, spec) &&
            (spec.maxPerWorker == 0 || countOfStep(worker, task.step) < spec.maxPerWorker) &&
            task.name !in worker.placements
    }

    private fun countOfStep(worker: FleetWorker, step: OpenStep) =
        worker.placements.values.count { it.task.step === step }

    private fun hasRoom(worker: FleetWorker, spec: WorkflowStep): Boolean {
        val capacity = worker.capacity
        if (worker.committedMemoryMib + spec.demand.memoryMib > capacity.memoryMib) return false
        val accelerators = worker.committedAccelerators + spec.demand.accelerators
        if (accelerators > capacity.accelerators) return false
        if (spec.usesIdleCpu) {
            return spec.demand.milliCpus <= spareMilliCpus(worker)
        }
        return worker.firmMilliCpus + spec.demand.milliCpus <= capacity.milliCpus
    }

    private fun spareMilliCpus(worker: FleetWorker) =
        worker.capacity.milliCpus - worker.firmMilliCpus - worker.idleMilliCpus +
            worker.servingMilliCpus / SERVING_USE_DIVISOR

    /** Returns how well [worker] suits [task], or null if its serving tasks have no headroom left. */
    private fun score(worker: FleetWorker, task: OpenTask, nowMillis: Long): Double? {
        val spec = task.step.spec
        val spare = spareMilliCpus(worker).toDouble() / worker.capacity.milliCpus
        var score = when {
            spec.isServing -> servingScore(worker, spec, spare)
            spec.usesIdleCpu -> spare + (calmOrNull(worker, spec, nowMillis) ?: return null)
            worker.servingCount > 0 -> PACKED_BONUS + spare
            else -> spare
        }
        if (spec.dataRack.isNotEmpty() && spec.dataRack in worker.listing.labels) {
            score += NEAR_DATA_BONUS
        }
        if (task.failedOn == worker.id) score -= FAILED_HERE_PENALTY
        if (worker.failuresInRow > 0) score -= FAILED_HERE_PENALTY * worker.failuresInRow
        return score
    }

    /**
     * Packs serving tasks tightly, those of one image together.
     *
     * Workers without serving tasks stay free for neighbours of any image and for short work; where
     * only one image serves, only its sensitivities count.
     */
    private fun servingScore(worker: FleetWorker, spec: WorkflowStep, spare: Double): Double {
        val serving = worker.sharing.serving
        val tightness = (1 - spare) * TIGHTNESS_WEIGHT
        if (serving.isEmpty()) return 1.0 + tightness
        val alike = serving.count { it.task.step.spec.image == spec.image }
        val isOneImage = alike == serving.size
        return if (isOneImage) PACKED_BONUS + tightness else alike / serving.size.toDouble()
    }

    private fun calmOrNull(worker: FleetWorker, spec: WorkflowStep, nowMillis: Long): Double? {
        val headroom = sharing.headroomWithOrNull(worker, spec, nowMillis) ?: return 1.0
        if (sharing.isHarmless(worker, spec, nowMillis)) return HARMLESS_CALM
        if (headroom < Sharing.AIM) return null
        return minOf(headroom / ENOUGH_HEADROOM, 1.0) * NOTED_CALM
    }

    private companion object {
        /** Short urgent work needs about a twentieth of the Regie's processors, twice that at a crest. */
        const val SHORT_WORK_RESERVE = 0.09

        /** Between the shares that long-running tasks reserve at BKTIB, 0.82, and the Regie, 0.9. */
        const val CROWDED_SHARE = 0.85

        /** Workers with room among which the best is taken; a larger sample gains little. */
        const val COMPARED = 48

        /** Headroom beyond which more is no better. */
        const val ENOUGH_HEADROOM = 2.0

        /** What serving tasks use of the processors that they reserve, over a swing of their load. */
        const val SERVING_USE_DIVISOR = 2

        /** Weights in shares of a worker; only their order matters. */
        const val PACKED_BONUS = 2.0
        const val TIGHTNESS_WEIGHT = 0.5
        const val HARMLESS_CALM = 0.95
        const val NOTED_CALM = 0.6
        const val NEAR_DATA_BONUS = 5.0
        const val FAILED_HERE_PENALTY = 10.0
    }
}

/** What decides whether a task of a step finds room; [image] counts only beside serving tasks. */
private data class TaskShape(
    val service: String,
    val label: String,
    val usesIdleCpu: Boolean,
    val image: String,
    val demand: Resources
) {
    /** Whether a task of [other]'s shape finds no room where one of this shape finds none. */
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
