/**
 * The choice of a worker for one task.
 *
 * A choice examines workers in turn from where the last one ended, until it has found a fixed number
 * that fit, and takes the best of these. It costs the same for a thousand and for ten thousand
 * workers, unless hardly any has room.
 */
package sycamoremast.coordination.placement

import sycamoremast.coordination.Resources

/** What a task asks of its worker; [rackLoad] counts its job's tasks in a rack. */
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

    /** How many workers the choices so far have examined. */
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

    /** Returns the best of the next workers that have room for [need], or null if none has. */
    fun choose(need: PlacementNeed, nowMillis: Long): WorkerSlot? {
        var best: WorkerSlot? = null
        var bestScore = Double.MAX_VALUE
        var found = 0
        var steps = 0
        while (steps < slots.size && found < CANDIDATES) {
            val slot = slots[(cursor + steps) % slots.size]
            steps++
            if (!isPossible(slot, need, nowMillis)) continue
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

    private fun isPossible(slot: WorkerSlot, need: PlacementNeed, nowMillis: Long) = slot.isOpen &&
        nowMillis >= slot.pausedUntilMillis &&
        (need.isUrgent || nowMillis >= slot.reservedUntilMillis) &&
        slot.fits(need.resources) &&
        !need.isExcluded(slot)

    private fun score(slot: WorkerSlot, need: PlacementNeed): Double {
        val spread = need.rackLoad(slot.rack) * RACK_WEIGHT
        val wastesAccelerators = need.resources.accelerators == 0L && slot.capacity.accelerators > 0
        val waste = if (wastesAccelerators) ACCELERATOR_WEIGHT else 0.0
        return spread + waste + need.penalty(slot) * PENALTY_WEIGHT + leftOver(slot, need)
    }

    /** Returns the part of the worker that stays free, so that the fullest that fits is taken. */
    private fun leftOver(slot: WorkerSlot, need: PlacementNeed): Double {
        val left = slot.capacity.minusFloored(slot.committed + need.resources)
        return left.milliCpus.toDouble() / slot.capacity.milliCpus.coerceAtLeast(1)
    }

    private companion object {
        const val CANDIDATES = 12
        const val RACK_WEIGHT = 1.0
        const val ACCELERATOR_WEIGHT = 4.0
        const val PENALTY_WEIGHT = 8.0
    }
}
