/** What a shard's owner knows of one worker. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.coordination.WorkerReport
import sycamoremast.coordination.lease.LeaseTiming
import sycamoremast.coordination.lease.WorkerSession

internal class WorkerRow(val name: String, var session: WorkerSession) {
    var listed: ListedHost? = null
    var isRecorded = false

    /** Whether nothing of an earlier epoch can run here unknown to the owner. */
    var isSettled = false
    var incarnation: String? = null
    var capacity = Resources.NONE
    var rack = ""
    var leaseRemainingMillis = 0L
    var renewalCall: Long? = null
    var renewalEpoch = 0L
    var renewalDueMillis = Long.MIN_VALUE
    val live = LinkedHashMap<String, LiveTask>()

    /** Results that the worker may forget. */
    val acknowledged = LinkedHashSet<String>()

    /** Running tasks that the owner did not place, until their stop is confirmed. */
    val foreign = LinkedHashMap<String, Resources>()
    var foreignStopDueMillis = Long.MIN_VALUE

    /** Until when no task is placed here, after a start that failed. */
    var pausedUntilMillis = Long.MIN_VALUE

    /** Whether a task may be on the worker that its lease's end would stop. */
    val mayRunTasks: Boolean
        get() = foreign.isNotEmpty() || live.values.any { it.phase != LivePhase.HELD }

    /** Whether new tasks may be placed here. */
    val isUsable: Boolean
        get() = session.fenced &&
            isRecorded &&
            leaseRemainingMillis > 0 &&
            listed?.state == HostState.LIVE

    /** The amounts that are committed here, whatever is really used. */
    fun committed(): Resources {
        val placed = live.values.filter { it.holdsResources }.map { it.resources }
        return (placed + foreign.values).fold(Resources.NONE, Resources::plus)
    }

    /** Takes over what [report] says of the worker itself; returns whether it has restarted. */
    fun onReport(report: WorkerReport, timing: LeaseTiming, nowMillis: Long): Boolean {
        val restarted = incarnation != null && incarnation != report.incarnation
        if (renewalEpoch == session.epoch) {
            session = session.answered(
                report.clockMillis,
                report.leaseRemainingMillis,
                timing,
                nowMillis
            )
        }
        isSettled = true
        incarnation = report.incarnation
        capacity = report.capacity
        rack = report.rack
        leaseRemainingMillis = report.leaseRemainingMillis
        acknowledged.retainAll(report.tasks.map { it.taskId }.toSet())
        return restarted
    }

    /** Voids everything that is still under way to the worker. */
    fun startGeneration() {
        session = session.nextGeneration()
        leaseRemainingMillis = 0
        renewalDueMillis = Long.MIN_VALUE
    }
}
