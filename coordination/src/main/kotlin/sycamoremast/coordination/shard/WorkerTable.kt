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
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.lease.WorkerSession

internal class WorkerTable(
    private val settings: ShardSettings,
    private val tasks: TaskTable,
    private val newCall: () -> Long
) {
    private val rows = LinkedHashMap<String, WorkerRow>()
    private var epoch = 0L

    val size: Int get() = rows.size
    val areSettled: Boolean get() = rows.values.all { it.isSettled }

    /** Begins an ownership under [newEpoch], in which [recorded] workers may hold tasks. */
    fun takeOver(newEpoch: Long, recorded: List<String>, nowMillis: Long) {
        rows.clear()
        epoch = newEpoch
        val overAt = settings.workerTiming.certainlyOverAt(nowMillis)
        for (name in recorded) {
            val row = WorkerRow(name, WorkerSession(epoch, overAt))
            row.isRecorded = true
            rows[name] = row
        }
    }

    fun clear() = rows.clear()

    /** Takes over the platform's listing; returns the workers that are new. */
    fun list(listed: List<ListedHost>): List<String> {
        val byName = listed.associateBy { it.name }
        rows.values.forEach { it.listed = byName[it.name] }
        val added = (byName.keys - rows.keys).toList()
        for (name in added) {
            val row = WorkerRow(name, WorkerSession(epoch, overAtMillis = 0))
            row.listed = byName[name]
            row.isSettled = true
            rows[name] = row
        }
        return added
    }

    fun markRecorded(names: List<String>) = names.forEach { rows[it]?.isRecorded = true }

    /** Returns the workers on which tasks may be placed now. */
    fun usable(nowMillis: Long): List<WorkerRow> =
        rows.values.filter { it.isUsable && nowMillis >= it.pausedUntilMillis }

    fun renew(nowMillis: Long, out: MutableList<ShardAction>) {
        for (row in rows.values) {
            if (row.renewalCall != null || nowMillis < row.renewalDueMillis) continue
            row.session = row.session.renewalSent(settings.workerTiming)
            row.renewalEpoch = row.session.epoch
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

    fun onRenewed(event: ShardEvent.Renewed, nowMillis: Long): Boolean {
        val row = rows[event.worker]
        if (row == null || row.renewalCall != event.call) return true
        row.renewalCall = null
        when (val result = event.result) {
            is Either.Left -> return onError(row, result.value, row.renewalEpoch)

            is Either.Right -> {
                val report = result.value
                val restarted = row.onReport(report, settings.workerTiming, nowMillis)
                tasks.onReport(row, report, event.call, row.renewalEpoch, restarted)
                if (report.leaseRemainingMillis <= 0) row.renewalDueMillis = nowMillis
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

    private fun onStartFailed(row: WorkerRow, task: LiveTask, error: WorkerError, nowMillis: Long) {
        row.pausedUntilMillis = nowMillis + settings.heartbeatMillis
        if (error is WorkerError.AnswerLost || task.confirmedByCall > 0) return
        tasks.gone(task, neverStarted = true)
    }

    fun onControlled(event: ShardEvent.Controlled): Boolean {
        val row = rows[event.worker] ?: return true
        when (val result = event.result) {
            is Either.Right -> observe(row, result.value)
            is Either.Left -> return onError(row, result.value, event.epoch)
        }
        return true
    }

    private fun observe(row: WorkerRow, report: TaskReport) = tasks.observe(row, report, newCall())

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
            if (!row.session.isOver(nowMillis)) continue
            if (row.isSettled && !row.mayRunTasks) continue
            row.startGeneration()
            tasks.waitedOut(row)
            row.isSettled = true
        }
    }

    /** Orders the stop of tasks that may not run on, again and again until it is confirmed. */
    fun stopTasks(nowMillis: Long, out: MutableList<ShardAction>) {
        for (row in rows.values.filter { it.session.fenced }) {
            if (nowMillis >= row.foreignStopDueMillis) {
                row.foreignStopDueMillis = nowMillis + settings.heartbeatMillis
                row.foreign.keys.forEach { out += stopOrder(row, it) }
            }
            row.live.values
                .filter { it.phase == LivePhase.STOPPING && nowMillis >= it.stopDueMillis }
                .forEach {
                    it.stopDueMillis = nowMillis + settings.heartbeatMillis
                    out += stopOrder(row, it.id)
                }
        }
    }

    private fun stopOrder(row: WorkerRow, taskId: String) =
        ShardAction.Control(row.name, taskId, row.session.epoch, TaskAction.STOP)
}
