/** What a shard's owner knows of one worker. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.coordination.WorkerReport
import sycamoremast.coordination.lease.LeaseTiming
import sycamoremast.coordination.lease.WorkerSession
import sycamoremast.coordination.placement.WorkerSlot

internal class WorkerRow(val name: String, var session: WorkerSession) {
    var listed: ListedHost? = null
    var isRecorded = false

    /** Whether nothing of an earlier epoch can run here unknown to the owner. */
    var isSettled = false

    /** Whether the worker has answered under the owner's shard epoch. */
    var isFencedOnce = false
    var incarnation: String? = null
    val slot = WorkerSlot(name)
    var leaseRemainingMillis = 0L
    var renewalCall: Long? = null
    var renewalEpoch = 0L
    var renewalDueMillis = Long.MIN_VALUE
    var renewalSentMillis = Long.MIN_VALUE

    /** When the newest renewal was sent that the worker has answered. */
    var answeredMillis = Long.MIN_VALUE

    /** The worker's incarnation when the owner's lease was last reliable. */
    var trustedIncarnation: String? = null

    /** Since when the platform does not list the worker. */
    var unlistedSinceMillis: Long? = null
    val live = LinkedHashMap<String, LiveTask>()

    /** Results that the worker may forget. */
    val acknowledged = LinkedHashSet<String>()

    /** Running tasks that the owner did not place, until their stop is confirmed. */
    val foreign = LinkedHashMap<String, Resources>()
    var foreignStopDueMillis = Long.MIN_VALUE

    /** Whether a task may be on the worker that its lease's end would stop. */
    val mayRunTasks: Boolean
        get() = foreign.isNotEmpty() || live.values.any { it.phase != LivePhase.HELD }

    /** Whether a task may be ordered here now. */
    val isUsable: Boolean
        get() = session.isFenced &&
            isRecorded &&
            leaseRemainingMillis > 0 &&
            listed?.state == HostState.LIVE

    /** When the worker needs a call or is known to be without a lease. */
    val wakeMillis: Long
        get() = minOf(
            if (renewalCall == null) renewalDueMillis else Long.MAX_VALUE,
            if (!isSettled || mayRunTasks) session.expiryMillis + 1 else Long.MAX_VALUE,
            if (foreign.isNotEmpty() && session.isFenced) foreignStopDueMillis else Long.MAX_VALUE
        )

    /** Takes over what [report] says of the worker itself; returns whether it has restarted. */
    fun onReport(report: WorkerReport, timing: LeaseTiming, nowMillis: Long): Boolean {
        val restarted = incarnation != null && incarnation != report.incarnation
        if (renewalEpoch == session.epoch) {
            session = session.withAnswer(
                report.clockMillis,
                report.leaseRemainingMillis,
                timing,
                nowMillis
            )
        }
        isSettled = true
        isFencedOnce = true
        incarnation = report.incarnation
        slot.capacity = report.capacity
        slot.rack = report.rack
        leaseRemainingMillis = report.leaseRemainingMillis
        if (acknowledged.isNotEmpty()) {
            acknowledged.retainAll(report.tasks.map { it.taskId }.toSet())
        }
        refreshSlot()
        return restarted
    }

    /** Voids everything that is still under way to the worker. */
    fun startGeneration() {
        session = session.nextGeneration()
        leaseRemainingMillis = 0
        renewalDueMillis = Long.MIN_VALUE
        refreshSlot()
    }

    /** Opens the slot for placement, or closes it, by what is known now. */
    fun refreshSlot() {
        slot.isOpen = isUsable
    }

    /** Commits the amount of a running task that the owner did not place. */
    fun addForeign(taskId: String, amount: Resources) {
        foreign.put(taskId, amount)?.let { slot.release(it) }
        slot.commit(amount)
    }

    fun clearForeign() {
        foreign.values.forEach { slot.release(it) }
        foreign.clear()
    }
}
