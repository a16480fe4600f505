/**
 * Chooses a worker for each task.
 *
 * A choice examines workers round-robin, starting where the last choice ended, until it has found a
 * fixed number of eligible ones, and takes the one with the best score. Its cost therefore does not
 * grow with the number of workers, unless hardly any worker is eligible.
 */
package sycamoremast.coordination.placement

import sycamoremast.coordination.Resources

/**
 * The requirements and preferences of a task to be placed.
 *
 * [rackLoad] returns the number of tasks of the same job in a rack, [penalty] the disadvantage of a
 * worker for the task, and [isExcluded] whether a worker must not get the task.
 */
data class PlacementNeed(
    val resources: Resources,
    val isUrgent: Boolean = false,
    val rackLoad: (rack: String) -> Int = { 0 },
    val penalty: (WorkerSlot) -> Double = { 0.0 },
    val isExcluded: (WorkerSlot) -> Boolean = { false }
)

/** The workers among which tasks are placed. */
class WorkerIndex {
    private val slots = ArrayList<WorkerSlot>()
    private var cursor = 0

    /** The total number of workers examined by all choices. */
    var examined = 0L
        private set

    /** All workers, in no particular order. */
    val all: List<WorkerSlot> get() = slots

    /** Adds [slot]. */
    fun add(slot: WorkerSlot) {
        slots += slot
    }

    /** Removes [slot]. */
    fun remove(slot: WorkerSlot) {
        slots -= slot
    }

    /** Removes all workers. */
    fun clear() = slots.clear()

    /** Returns the best of the next eligible workers for [need], or null if none is eligible. */
    fun choose(need: PlacementNeed, nowMillis: Long): WorkerSlot? {
        var best: WorkerSlot? = null
        var bestScore = Double.MAX_VALUE
        var found = 0
        var steps = 0
        while (steps < slots.size && found < CANDIDATES) {
            val slot = slots[(cursor + steps) % slots.size]
            steps++
            if (!isEligible(slot, need, nowMillis)) continue
            found++
            val score = score(slot, need)
            if (score < bestScore) {
                best = slot
                bestScore = score
            }
        }
        examined += steps
        if (slots.isNotEmpty()) cursor = (cursor + steps) % slots.size
        return best
    }

    private fun isEligible(slot: WorkerSlot, need: PlacementNeed, nowMillis: Long) = slot.isOpen &&
        nowMillis >= slot.pausedUntilMillis &&
        (need.isUrgent || nowMillis >= slot.reservedUntilMillis) &&
        slot.fits(need.resources) &&
        !need.isExcluded(slot)

    /** Returns the score of an eligible worker; the lowest one wins. */
    private fun score(slot: WorkerSlot, need: PlacementNeed): Double {
        val rackPenalty = need.rackLoad(slot.rack) * RACK_WEIGHT
        val wastesAccelerators = need.resources.accelerators == 0L && slot.capacity.accelerators > 0
        val acceleratorPenalty = if (wastesAccelerators) ACCELERATOR_WEIGHT else 0.0
        return rackPenalty + acceleratorPenalty + need.penalty(slot) * PENALTY_WEIGHT +
            freeCpuShare(slot, need)
    }

    /** Returns the share of CPU that stays free; the lowest score is thus the best fit. */
    private fun freeCpuShare(slot: WorkerSlot, need: PlacementNeed): Double {
        val left = slot.capacity.minusFloored(slot.committed + need.resources)
        return left.milliCpus.toDouble() / slot.capacity.milliCpus.coerceAtLeast(1)
    }

    private companion object {
        /** The eligible workers among which a choice takes the best. */
        const val CANDIDATES = 12

        /** The weights of the score; the share of free CPU has the weight 1. */
        const val RACK_WEIGHT = 1.0
        const val ACCELERATOR_WEIGHT = 4.0
        const val PENALTY_WEIGHT = 8.0
    }
}
