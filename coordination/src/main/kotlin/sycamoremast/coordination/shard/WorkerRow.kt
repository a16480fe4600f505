/** The owner's in-memory state of one worker. */
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

    /** Whether every task of an earlier epoch that may run here is known to the owner. */
    var isReconciled = false

    /** Whether the worker has ever answered under the owner's shard epoch. */
    var hasBeenFenced = false
    var incarnation: String? = null
    val slot = WorkerSlot(name)
    var leaseRemainingMillis = 0L
    var renewalCall: Long? = null
    var renewalEpoch = 0L
    var renewalDueMillis = Long.MIN_VALUE
    var renewalSentMillis = Long.MIN_VALUE

    /** The time at which the newest answered renewal was sent. */
    var answeredRenewalSentMillis = Long.MIN_VALUE

    /** The worker's incarnation when the owner's lease was last reliable. */
    var trustedIncarnation: String? = null

    /** The time since which the platform does not list the worker. */
    var unlistedSinceMillis: Long? = null
    val activeAttempts = LinkedHashMap<String, TaskAttempt>()

    /** The tasks whose results the worker may discard. */
    val acknowledged = LinkedHashSet<String>()

    /** Running tasks that the owner did not place, kept until their stop is confirmed. */
    val orphans = LinkedHashMap<String, Resources>()
    var orphanStopDueMillis = Long.MIN_VALUE

    /** Whether tasks may be running on the worker that would stop when its lease lapses. */
    val mayRunTasks: Boolean
        get() = orphans.isNotEmpty() ||
            activeAttempts.values.any { it.phase != AttemptPhase.FINISHED }

    /** Whether the owner may start tasks on this worker now. */
    val isUsable: Boolean
        get() = session.isFenced &&
            isRecorded &&
            leaseRemainingMillis > 0 &&
            listed?.state == HostState.LIVE

    /** The time of the next call to the worker, or at which its lease has certainly lapsed. */
    val wakeMillis: Long
        get() = minOf(
            if (renewalCall == null) renewalDueMillis else Long.MAX_VALUE,
            if (!isReconciled || mayRunTasks) session.expiryMillis + 1 else Long.MAX_VALUE,
            if (orphans.isNotEmpty() && session.isFenced) orphanStopDueMillis else Long.MAX_VALUE
        )

    /** Applies the worker's own state from [report]; returns whether the worker has restarted. */
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
        isReconciled = true
        hasBeenFenced = true
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

    /** Starts a new generation, which fences off all earlier calls that are still in flight. */
    fun startGeneration() {
        session = session.nextGeneration()
        leaseRemainingMillis = 0
        renewalDueMillis = Long.MIN_VALUE
        refreshSlot()
    }

    /** Opens or closes the slot for placement according to [isUsable]. */
    fun refreshSlot() {
        slot.isOpen = isUsable
    }

    /** Commits the resources of a running task that the owner did not place. */
    fun addOrphan(taskId: String, amount: Resources) {
        orphans.put(taskId, amount)?.let { slot.release(it) }
        slot.commit(amount)
    }

    fun clearOrphans() {
        orphans.values.forEach { slot.release(it) }
        orphans.clear()
    }
}
