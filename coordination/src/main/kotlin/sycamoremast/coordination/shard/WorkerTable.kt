/**
 * The workers of a shard and the owner's calls on them.
 *
 * An answer that shows a higher shard epoch on a worker means that the shard has another owner; the
 * functions that take answers return false then.
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
    private val interference: InterferenceWatch,
    private val newCall: () -> Long
) {
    private val rows = LinkedHashMap<String, WorkerRow>()
    private var epoch = 0L
    private var quorum = WorkerQuorum(0)
    private var isSuccessionOver = false
    private val reports = ReportReader(tasks)
    val index = WorkerIndex()

    val size: Int get() = rows.size
    val areSettled: Boolean get() = rows.values.all { it.isSettled }

    /** When [renew], [expire] or [endTasks] has something to do, unless an answer comes first. */
    val wakeMillis: Long
        get() = minOf(rows.values.minOfOrNull { it.wakeMillis } ?: Long.MAX_VALUE, tasks.wakeMillis)

    /** Begins an ownership under [newEpoch], in which [recorded] workers may hold tasks. */
    fun takeOver(newEpoch: Long, recorded: List<String>, nowMillis: Long) {
        clear()
        epoch = newEpoch
        quorum = WorkerQuorum(recorded.size)
        val overAt = nowMillis + settings.longestCutOffMillis + successionMillis()
        for (name in recorded) {
            val row = WorkerRow(name, WorkerSession(epoch, overAt))
            row.isRecorded = true
            add(row)
        }
    }

    /** How long an earlier owner's leases may last once enough workers took a later epoch. */
    private fun successionMillis() =
        2 * (settings.workerTiming.ttlMillis + settings.workerTiming.marginMillis)

    /** Shortens the wait for unreachable workers once an earlier owner can no longer go on. */
    private fun endSuccession(nowMillis: Long) {
        if (isSuccessionOver) return
        if (rows.values.count { it.isRecorded && it.isFencedOnce } < quorum.toTakeOver) return
        isSuccessionOver = true
        val overAt = nowMillis + successionMillis()
        rows.values.filter { !it.isSettled }.forEach { it.session = it.session.expiringBy(overAt) }
    }

    /** Returns whether so many workers answer that no other owner can have succeeded. */
    fun mayGoOn(nowMillis: Long): Boolean {
        val recorded = rows.values.filter { it.isRecorded }
        val since = nowMillis - settings.workerTiming.ttlMillis
        val answering = recorded.count {
            it.answeredMillis >= since &&
                !it.session.isExpired(nowMillis) &&
                it.incarnation == it.trustedIncarnation
        }
        return answering >= WorkerQuorum(recorded.size).toContinue
    }

    /** Returns the workers that the platform no longer lists and that certainly hold nothing. */
    fun forgettable(nowMillis: Long): List<String> = rows.values
        .filter { it.isRecorded && it.isSettled && it.session.isExpired(nowMillis) }
        .filter { it.live.isEmpty() && it.foreign.isEmpty() }
        .filter { row ->
            row.unlistedSinceMillis?.let { nowMillis >= it + FORGET_AFTER_MILLIS } ?: false
        }
        .map { it.name }

    fun forget(names: List<String>) {
        for (row in names.mapNotNull { rows.remove(it) }) index.remove(row.slot)
    }

    fun clear() {
        rows.clear()
        index.clear()
        isSuccessionOver = false
    }

    fun row(name: String): WorkerRow? = rows[name]

    private fun add(row: WorkerRow) {
        rows[row.name] = row
        index.add(row.slot)
    }

    /** Takes over the platform's listing; returns the workers that are new. */
    fun list(listed: List<ListedHost>, nowMillis: Long): List<String> {
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
            row.isSettled = true
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

    /** Returns the capacity of all workers on which tasks may be placed. */
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

    /** Takes in an answer to a renewal; [isReliable] is whether the owner's lease is. */
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
                row.answeredMillis = row.renewalSentMillis
                if (isReliable) row.trustedIncarnation = report.incarnation
                val isFirstContact = row.session.echoArrivedMillis == null
                val wasOpen = row.slot.isOpen
                val restarted = row.onReport(report, settings.workerTiming, nowMillis)
                reports.onReport(row, report, event.call, row.renewalEpoch, restarted)
                if (row.session.isFenced) out += interference.onReport(row, report, nowMillis)
                endSuccession(nowMillis)
                if (!wasOpen && row.slot.isOpen) tasks.isPlacementDue = true
                val grantedNothing = isFirstContact || report.leaseRemainingMillis <= 0
                if (grantedNothing) row.renewalDueMillis = nowMillis
            }
        }
        return true
    }

    fun onStarted(event: ShardEvent.Started, nowMillis: Long): Boolean {
        val row = rows[event.worker] ?: return true
        val task = row.live[event.order.taskId]?.takeIf {
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

    /** A worker whose answer was lost is asked at once what it runs. */
    private fun onStartFailed(row: WorkerRow, task: LiveTask, error: WorkerError, nowMillis: Long) {
        if (error is WorkerError.AnswerLost) {
            row.renewalDueMillis = nowMillis
            return
        }
        row.slot.pausedUntilMillis = nowMillis + settings.heartbeatMillis
        if (task.confirmedByCall <= 0) tasks.gone(task, neverStarted = true)
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
        val task = row.live[event.taskId] ?: return
        val isSaved = event.action == TaskAction.CHECKPOINT && report.attempt == task.attempt
        if (isSaved && task.phase == LivePhase.CHECKPOINTING) tasks.stop(task)
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

    /** Takes the tasks off every worker whose lease has certainly lapsed. */
    fun expire(nowMillis: Long) {
        for (row in rows.values) {
            if (!row.session.isExpired(nowMillis)) continue
            if (row.isSettled && !row.mayRunTasks) continue
            row.startGeneration()
            tasks.waitedOut(row)
            row.isSettled = true
        }
    }

    /** Orders the end of tasks that may not run on, again and again until it is confirmed. */
    fun endTasks(nowMillis: Long, out: MutableList<ShardAction>) {
        for (row in rows.values) {
            if (row.foreign.isEmpty() || !row.session.isFenced) continue
            if (nowMillis < row.foreignStopDueMillis) continue
            row.foreignStopDueMillis = nowMillis + settings.heartbeatMillis
            row.foreign.keys.forEach { out += order(row, it, TaskAction.STOP) }
        }
        tasks.ending
            .filter { it.worker.session.isFenced && nowMillis >= it.orderDueMillis }
            .forEach { end(it, nowMillis, out) }
    }

    private fun end(task: LiveTask, nowMillis: Long, out: MutableList<ShardAction>) {
        val gaveUp = task.orders >= CHECKPOINT_ORDERS
        if (task.phase == LivePhase.CHECKPOINTING && gaveUp) tasks.stop(task)
        task.orderDueMillis = nowMillis + settings.heartbeatMillis
        task.orders++
        val isCheckpointing = task.phase == LivePhase.CHECKPOINTING
        val action = if (isCheckpointing) TaskAction.CHECKPOINT else TaskAction.STOP
        out += order(task.worker, task.id, action)
    }

    private fun order(row: WorkerRow, taskId: String, action: TaskAction) =
        ShardAction.Control(row.name, taskId, row.session.epoch, action)

    private companion object {
        const val CHECKPOINT_ORDERS = 3

        /** How long a worker must be off the platform's list before its record is dropped. */
        const val FORGET_AFTER_MILLIS = 60_000L
    }
}
