/** What the runs on a worker and the room reserved there for others take of its capacity. */
package sycamoremast.coordination.workflow

internal class Commitments {
    /** CPU demand of the runs that count against the capacity. */
    var reservedMilliCpus = 0L
        private set

    /** CPU demand, scaled by pace, of the runs that use idle CPU and don't count against it. */
    var opportunisticMilliCpus = 0L
        private set
    var memoryMib = 0L
        private set
    var accelerators = 0L
        private set

    /** Adds a run of [spec] at [pacePercent] of full pace, or room for one. */
    fun add(spec: WorkflowStep, pacePercent: Int = Placement.FULL_PACE) =
        change(spec, pacePercent, 1)

    /** Removes what [add] added for [spec]. */
    fun remove(spec: WorkflowStep, pacePercent: Int = Placement.FULL_PACE) =
        change(spec, pacePercent, -1)

    private fun change(spec: WorkflowStep, pacePercent: Int, sign: Int) {
        if (spec.usesIdleCpu) {
            opportunisticMilliCpus +=
                sign * spec.demand.milliCpus * pacePercent / Placement.FULL_PACE
        } else {
            reservedMilliCpus += sign * spec.demand.milliCpus
        }
        memoryMib += sign * spec.demand.memoryMib
        accelerators += sign * spec.demand.accelerators
    }
}
