/**
 * Chooses the worker for a task.
 *
 * Serving tasks and tasks that use idle processors disturb each other, so they are kept on different
 * workers: serving tasks are packed on few, and the others go where most processors are left.
 */
package sycamoremast.coordination.workflow

internal class Placer(private val fleet: Fleet) {
    /** Returns the best worker for [task] at [nowMillis], or null if none has room. */
    fun chooseOrNull(task: OpenTask, nowMillis: Long): FleetWorker? {
        var best: FleetWorker? = null
        var bestScore = Double.NEGATIVE_INFINITY
        for (worker in fleet.workers.values) {
            if (!mayRun(worker, task, nowMillis)) continue
            val score = score(worker, task)
            if (score > bestScore) {
                best = worker
                bestScore = score
            }
        }
        return best
    }

    private fun mayRun(worker: FleetWorker, task: OpenTask, nowMillis: Long): Boolean {
        val spec = task.step.spec
        return worker.mayStart(nowMillis) &&
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
            return worker.servingCount == 0 && spec.demand.milliCpus <= spareMilliCpus(worker)
        }
        return worker.firmMilliCpus + spec.demand.milliCpus <= capacity.milliCpus
    }

    private fun spareMilliCpus(worker: FleetWorker) =
        worker.capacity.milliCpus - worker.firmMilliCpus - worker.idleMilliCpus

    private fun score(worker: FleetWorker, task: OpenTask): Double {
        val spec = task.step.spec
        val spare = spareMilliCpus(worker).toDouble() / worker.capacity.milliCpus
        var score = when {
            spec.isServing && worker.servingCount > 0 -> PACKED_BONUS - spare
            spec.isServing -> spare
            spec.usesIdleCpu -> spare
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

    private companion object {
        /** Weights in shares of a worker; only their order matters. */
        const val PACKED_BONUS = 2.0
        const val NEAR_DATA_BONUS = 5.0
        const val FAILED_HERE_PENALTY = 10.0
    }
}
