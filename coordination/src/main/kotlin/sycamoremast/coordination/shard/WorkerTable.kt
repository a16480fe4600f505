/**
 * The workers of a shard, and the owner's calls to them.
 *
 * A higher shard epoch in a worker's answer means that another host owns the shard. Functions that
 * process answers return false in this case.
 */
package sycamoremast.coordination.shard

import arrow.core.Either
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.lease.WorkerQuorum
import sycamoremast.coordination.lease.WorkerSession
import sycamoremast.coordination.placement.WorkerIndex

internal class WorkerTable(
    private val settings: ShardSettings,
    private val tasks: TaskTable,
    private val interference: InterferenceMonitor,
    private val newCall: () -> Long
) {
    private val rows = LinkedHashMap<String, WorkerRow>()
    private var epoch = 0L
    private var quorum = WorkerQuorum(0)
    private var isPredecessorFenced = false
    private val reports = ReportReconciler(tasks)
    val index = WorkerIndex()

    val size: Int get() = rows.size
    val areReconciled: Boolean get() = rows.values.all { it.isReconciled }

    /** The time of the next work of [renew], [expire] or [sendStopOrders] if no answer precedes. */
    val wakeMillis: Long
        get() = minOf(rows.values.minOfOrNull { it.wakeMillis } ?: Long.MAX_VALUE, tasks.wakeMillis)

    /** Starts the ownership under [newEpoch]; the [recorded] workers may still hold tasks. */
    fun beginEpoch(newEpoch: Long, recorded: List<String>, nowMillis: Long) {
        clear()
        epoch = newEpoch
        quorum = WorkerQuorum(recorded.size)
        val overAt = nowMillis + settings.maxStoreOutageMillis + predecessorLeaseMillis()
        for (name in recorded) {
            val row = WorkerRow(name, WorkerSession(epoch, overAt))
            row.isRecorded = true
            add(row)
        }
    }

    /** Returns how long worker leases of an earlier owner may last once a quorum fences it off. */
    private fun predecessorLeaseMillis() =
        2 * (settings.workerTiming.ttlMillis + settings.workerTiming.marginMillis)

    /** Shortens the wait for unreachable workers once a quorum has fenced off an earlier owner. */
    private fun shortenWaitIfPredecessorFenced(nowMillis: Long) {
        if (isPredecessorFenced) return
        if (rows.values.count { it.isRecorded && it.hasBeenFenced } < quorum.toTakeOver) return
        isPredecessorFenced = true
        val end = nowMillis + predecessorLeaseMillis()
        rows.values.filter { !it.isReconciled }.forEach { it.session = it.session.expiringBy(end) }
    }

    /** Returns whether enough workers answer to rule out that another host has taken over. */
    fun hasContinuationQuorum(nowMillis: Long): Boolean {
        val recorded = rows.values.filter { it.isRecorded }
        val since = nowMillis - settings.workerTiming.ttlMillis
        val answering = recorded.count {
            it.answeredRenewalSentMillis >= since &&
                !it.session.isExpired(nowMillis) &&
                it.incarnation == it.trustedIncarnation
        }
        return answering >= WorkerQuorum(recorded.size).toContinue
    }

    /** Returns the workers that are no longer listed and certainly hold no tasks or lease. */
    fun removableWorkers(nowMillis: Long): List<String> = rows.values
        .filter { it.isRecorded && it.isReconciled && it.session.isExpired(nowMillis) }
        .filter { it.activeAttempts.isEmpty() && it.orphans.isEmpty() }
        .filter { row ->
            row.unlistedSinceMillis?.let { nowMillis >= it + UNLISTED_RETENTION_MILLIS } ?: false
        }
        .map { it.name }

    fun forget(names: List<String>) {
        for (row in names.mapNotNull { rows.remove(it) }) index.remove(row.slot)
    }

    fun clear() {
        rows.clear()
        index.clear()
        isPredecessorFenced = false
    }

    fun row(name: String): WorkerRow? = rows[name]

    private fun add(row: WorkerRow) {
        rows[row.name] = row
        index.add(row.slot)
    }

    /** Applies the platform's listing; returns the names of new workers. */
    fun updateListing(listed: List<ListedHost>, nowMillis: Long): List<String> {
        val byName = listed.associateBy { it.name }
        for (row in rows.values) {
            row.listed = byName[row.name]
            val isListed = row.listed != null
            row.unlistedSinceMillis =
                if (isListed) null else row.unlistedSinceMillis ?: nowMillis
            row.refreshSlot()
        }
        val added = (byName.keys - rows.keys).toList()
        for (name in added) {
            val row = WorkerRow(name, WorkerSession(epoch, expiryMillis = 0))
            row.listed = byName[name]
            row.isReconciled = true
            add(row)
        }
        return added
    }

    fun markRecorded(names: List<String>) {
        for (row in names.mapNotNull { rows[it] }) {
            row.isRecorded = true
            row.refreshSlot()
        }
        tasks.isPlacementDue = true
    }

    /** Returns the total capacity of the workers that are open for placement. */
    fun capacity(): Resources = rows.values.filter { it.slot.isOpen }
        .fold(Resources.NONE) { sum, row -> sum + row.slot.capacity }

    fun renew(nowMillis: Long, out: MutableList<ShardAction>) {
        for (row in rows.values) {
            if (row.renewalCall != null || nowMillis < row.renewalDueMillis) continue
            row.session = row.session.withRenewalSent(settings.workerTiming)
            row.renewalEpoch = row.session.epoch
            row.renewalSentMillis = nowMillis
            row.renewalDueMillis = nowMillis + settings.heartbeatMillis
            val renewal = LeaseRenewal(
                owner = settings.owner,
                epoch = row.session.epoch,
                ttlMillis = settings.workerTiming.ttlMillis,
                echoMillis = row.session.echoMillis,
                acknowledged = row.acknowledged.toList()
            )
            val call = newCall().also { row.renewalCall = it }
            out += ShardAction.Renew(row.name, call, renewal)
        }
    }

    /** Processes the answer to a renewal; [isReliable] tells whether the owner's lease is. */
    fun onRenewed(
        event: ShardEvent.Renewed,
        isReliable: Boolean,
        nowMillis: Long,
        out: MutableList<ShardAction>
    ): Boolean {
        val row = rows[event.worker]
        if (row == null || row.renewalCall != event.call) return true
        row.renewalCall = null
        when (val result = event.result) {
            is Either.Left -> return onError(row, result.value, row.renewalEpoch)

            is Either.Right -> {
                val report = result.value
                row.answeredRenewalSentMillis = row.renewalSentMillis
                if (isReliable) row.trustedIncarnation = report.incarnation
                val isFirstContact = row.session.echoArrivedMillis == null
                val wasOpen = row.slot.isOpen
                val restarted = row.onReport(report, settings.workerTiming, nowMillis)
                reports.onReport(row, report, event.call, row.renewalEpoch, restarted)
                if (row.session.isFenced) out += interference.onReport(row, report, nowMillis)
                shortenWaitIfPredecessorFenced(nowMillis)
                if (!wasOpen && row.slot.isOpen) tasks.isPlacementDue = true
                val grantedNothing = isFirstContact || report.leaseRemainingMillis <= 0
                if (grantedNothing) row.renewalDueMillis = nowMillis
            }
        }
        return true
    }

    fun onStarted(event: ShardEvent.Started, nowMillis: Long): Boolean {
        val row = rows[event.worker] ?: return true
        val task = row.activeAttempts[event.order.taskId]?.takeIf {
            it.epoch == event.order.epoch && it.attempt == event.order.attempt
        }
        when (val result = event.result) {
            is Either.Right -> if (task != null) observe(row, result.value)

            is Either.Left -> {
                if (task != null) onStartFailed(row, task, result.value, nowMillis)
                return onError(row, result.value, event.order.epoch)
            }
        }
        return true
    }

    /** If the answer was lost, renews the lease at once to learn whether the task was started. */
    private fun onStartFailed(
        row: WorkerRow,
        task: TaskAttempt,
        error: WorkerError,
        nowMillis: Long
    ) {
        if (error is WorkerError.AnswerLost) {
            row.renewalDueMillis = nowMillis
            return
        }
        row.slot.pausedUntilMillis = nowMillis + settings.heartbeatMillis
        if (task.confirmedByCall <= 0) tasks.removeAbsent(task, neverStarted = true)
    }

    fun onControlled(event: ShardEvent.Controlled): Boolean {
        val row = rows[event.worker] ?: return true
        when (val result = event.result) {
            is Either.Right -> onControlled(row, event, result.value)
            is Either.Left -> return onError(row, result.value, event.epoch)
        }
        return true
    }

    private fun onControlled(row: WorkerRow, event: ShardEvent.Controlled, report: TaskReport) {
        observe(row, report)
        val task = row.activeAttempts[event.taskId] ?: return
        val isSaved = event.action == TaskAction.CHECKPOINT && report.attempt == task.attempt
        if (isSaved && task.phase == AttemptPhase.CHECKPOINTING) tasks.stop(task)
    }

    private fun observe(row: WorkerRow, report: TaskReport) =
        reports.observe(row, report, newCall())

    private fun onError(row: WorkerRow, error: WorkerError, calledEpoch: Long): Boolean {
        when (error) {
            is WorkerError.NotSent, is WorkerError.Refused -> Unit

            is WorkerError.AnswerLost -> if (calledEpoch == row.session.epoch) row.startGeneration()

            is WorkerError.StaleEpoch -> {
                if (WorkerSession.shardEpochOf(error.current) > epoch) return false
                while (row.session.epoch < error.current) row.startGeneration()
            }
        }
        return true
    }

    /** Removes the tasks of every worker whose lease has certainly lapsed. */
    fun expire(nowMillis: Long) {
        for (row in rows.values) {
            if (!row.session.isExpired(nowMillis)) continue
            if (row.isReconciled && !row.mayRunTasks) continue
            row.startGeneration()
            tasks.removeAfterLeaseLapse(row)
            row.isReconciled = true
        }
    }

    /** Sends checkpoint and stop orders, repeated every heartbeat until they are confirmed. */
    fun sendStopOrders(nowMillis: Long, out: MutableList<ShardAction>) {
        for (row in rows.values) {
            if (row.orphans.isEmpty() || !row.session.isFenced) continue
            if (nowMillis < row.orphanStopDueMillis) continue
            row.orphanStopDueMillis = nowMillis + settings.heartbeatMillis
            row.orphans.keys.forEach { out += controlAction(row, it, TaskAction.STOP) }
        }
        tasks.stoppingAttempts
            .filter { it.worker.session.isFenced && nowMillis >= it.nextOrderMillis }
            .forEach { sendStopOrder(it, nowMillis, out) }
    }

    private fun sendStopOrder(task: TaskAttempt, nowMillis: Long, out: MutableList<ShardAction>) {
        val isCheckpointGivenUp = task.stopOrders >= MAX_CHECKPOINT_ORDERS
        if (task.phase == AttemptPhase.CHECKPOINTING && isCheckpointGivenUp) tasks.stop(task)
        task.nextOrderMillis = nowMillis + settings.heartbeatMillis
        task.stopOrders++
        val isCheckpointing = task.phase == AttemptPhase.CHECKPOINTING
        val action = if (isCheckpointing) TaskAction.CHECKPOINT else TaskAction.STOP
        out += controlAction(task.worker, task.id, action)
    }

    private fun controlAction(row: WorkerRow, taskId: String, action: TaskAction) =
        ShardAction.Control(row.name, taskId, row.session.epoch, action)

    private companion object {
        const val MAX_CHECKPOINT_ORDERS = 3

        /** The time for which a worker must be unlisted before its record is removed. */
        const val UNLISTED_RETENTION_MILLIS = 60_000L
    }
}
