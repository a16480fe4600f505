/** Decides where long-running tasks leave room to short ones on a crowded fleet. */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

internal class ShortTaskReserve(private val fleet: Fleet) {
    private var cachedCrowded: Boolean? = null

    /** Whether running and waiting long-running tasks leave little of the fleet to short ones. */
    val isCrowded: Boolean get() = cachedCrowded ?: compare().also { cachedCrowded = it }

    /** Begins a round, in which neither the capacity nor the accepted workflows change. */
    fun beginRound() {
        cachedCrowded = null
    }

    private fun compare(): Boolean {
        val capacity = fleet.workers.values.sumOf { it.capacity.milliCpus }
        return fleet.longRunningMilliCpus() > capacity * CROWDED_SHARE
    }

    /** Whether a task of [spec] leaves the reserve on [worker] once the room [freed] is free. */
    fun isLeft(
        worker: FleetWorker,
        spec: WorkflowStep,
        freed: Resources = Resources.NONE
    ): Boolean {
        val left = worker.capacity.milliCpus + freed.milliCpus -
            worker.commitments.reservedMilliCpus - spec.demand.milliCpus
        return left >= worker.capacity.milliCpus * SHORT_WORK_RESERVE
    }

    private companion object {
        /** The share of a worker to leave to short tasks, about the size of one of them. */
        const val SHORT_WORK_RESERVE = 0.09

        /** Below this share, long-running tasks leave enough to short ones by themselves. */
        const val CROWDED_SHARE = 0.85
    }
}
