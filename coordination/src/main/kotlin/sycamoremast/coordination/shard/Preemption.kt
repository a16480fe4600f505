/** Makes room for urgent work by evicting work that can go on elsewhere. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Resources
import sycamoremast.coordination.placement.EvictionBudget
import sycamoremast.coordination.placement.WaitingJob
import sycamoremast.coordination.placement.WorkerSlot

internal class Preemption(private val tasks: TaskTable, private val workers: WorkerTable) {
    private val budget = EvictionBudget(MOST_EVICTIONS, PERIOD_MILLIS)

    /**
     * Evicts what stands in the way of [count] tasks like [urgent], on the workers where that undoes
     * the least.
     */
    fun makeRoom(urgent: WaitingJob, count: Int, nowMillis: Long) {
        val underWay = workers.index.all.count { it.isBeingCleared(urgent.need, nowMillis) }
        if (underWay >= count) return
        workers.index.all
            .filter { it.isOpen && nowMillis >= it.reservedUntilMillis }
            .mapNotNull { slot -> workers.row(slot.name)?.let { plan(it, urgent.need) } }
            .sortedBy { it.undoneMillis }
            .take(count - underWay)
            .forEach { carryOut(it, nowMillis) }
    }

    private fun carryOut(plan: Plan, nowMillis: Long) {
        if (!budget.tryTake(plan.victims.size, nowMillis)) return
        plan.worker.slot.reservedUntilMillis = nowMillis + RESERVED_MILLIS
        plan.victims.forEach { tasks.evict(it) }
    }

    /** Whether evictions for [need] are already under way here. */
    private fun WorkerSlot.isBeingCleared(need: Resources, nowMillis: Long) =
        isOpen && nowMillis < reservedUntilMillis && need.fitsIn(capacity)

    private class Plan(val worker: WorkerRow, val victims: List<LiveTask>) {
        val undoneMillis = victims.sumOf { it.checkpoint?.doneMillis ?: 0 } +
            victims.size * EVICTION_COST_MILLIS
    }

    private fun plan(worker: WorkerRow, need: Resources): Plan? {
        if (!need.fitsIn(worker.slot.capacity)) return null
        var left = worker.slot.committed
        val victims = ArrayList<LiveTask>()
        val candidates = worker.live.values
            .filter { it.phase == LivePhase.RUNNING && it.isEvictable() }
            .sortedByDescending { it.startedMillis ?: 0 }
        for (task in candidates) {
            if ((left + need).fitsIn(worker.slot.capacity)) break
            left = left.minusFloored(task.resources)
            victims += task
        }
        return Plan(worker, victims).takeIf { (left + need).fitsIn(worker.slot.capacity) }
    }

    private fun LiveTask.isEvictable() = job.spec?.let { !it.urgent && !it.neverRepeat } ?: false

    private companion object {
        const val MOST_EVICTIONS = 32
        const val PERIOD_MILLIS = 10_000L

        /** How long an evicted task takes to stop and to start elsewhere. */
        const val EVICTION_COST_MILLIS = 5_000L
        const val RESERVED_MILLIS = 3_000L
    }
}
