/** Evicts tasks that can resume on other workers in order to place urgent tasks. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Resources
import sycamoremast.coordination.placement.EvictionBudget
import sycamoremast.coordination.placement.WaitingJob
import sycamoremast.coordination.placement.WorkerSlot

internal class Preemption(private val tasks: TaskTable, private val workers: WorkerTable) {
    private val budget = EvictionBudget(MAX_EVICTIONS_PER_PERIOD, BUDGET_PERIOD_MILLIS)

    /**
     * Evicts enough tasks to place [count] tasks of the job [urgent].
     *
     * The workers with the lowest eviction cost are used first.
     */
    fun evictFor(urgent: WaitingJob, count: Int, nowMillis: Long) {
        val pendingWorkers = workers.index.all.count {
            it.hasPendingEvictions(urgent.need, nowMillis)
        }
        if (pendingWorkers >= count) return
        workers.index.all
            .filter { it.isOpen && nowMillis >= it.reservedUntilMillis }
            .mapNotNull { slot -> workers.row(slot.name)?.let { plan(it, urgent.need) } }
            .sortedBy { it.costMillis }
            .take(count - pendingWorkers)
            .forEach { execute(it, nowMillis) }
    }

    private fun execute(plan: EvictionPlan, nowMillis: Long) {
        if (!budget.tryTake(plan.victims.size, nowMillis)) return
        plan.worker.slot.reservedUntilMillis = nowMillis + RESERVATION_MILLIS
        plan.victims.forEach { tasks.evict(it) }
    }

    /** Whether the worker is already reserved for an urgent task and large enough for [need]. */
    private fun WorkerSlot.hasPendingEvictions(need: Resources, nowMillis: Long) =
        isOpen && nowMillis < reservedUntilMillis && need.fitsIn(capacity)

    private class EvictionPlan(val worker: WorkerRow, val victims: List<TaskAttempt>) {
        val costMillis = victims.sumOf { it.checkpoint?.doneMillis ?: 0 } +
            victims.size * EVICTION_COST_MILLIS
    }

    private fun plan(worker: WorkerRow, need: Resources): EvictionPlan? {
        if (!need.fitsIn(worker.slot.capacity)) return null
        var committed = worker.slot.committed
        val victims = ArrayList<TaskAttempt>()
        val candidates = worker.activeAttempts.values
            .filter { it.phase == AttemptPhase.RUNNING && it.isEvictable() }
            .sortedByDescending { it.startedMillis ?: 0 }
        for (task in candidates) {
            if ((committed + need).fitsIn(worker.slot.capacity)) break
            committed = committed.minusFloored(task.resources)
            victims += task
        }
        return EvictionPlan(worker, victims).takeIf {
            (committed + need).fitsIn(worker.slot.capacity)
        }
    }

    private fun TaskAttempt.isEvictable() = job.spec?.let { !it.urgent && !it.neverRepeat } ?: false

    private companion object {
        const val MAX_EVICTIONS_PER_PERIOD = 32
        const val BUDGET_PERIOD_MILLIS = 10_000L

        /** The time that an evicted task takes to stop and to start on another worker. */
        const val EVICTION_COST_MILLIS = 5_000L
        const val RESERVATION_MILLIS = 3_000L
    }
}
