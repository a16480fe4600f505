/** The state machine of a worker, independent of HTTP; each call passes the current time. */
package sycamoremast.standins

import java.util.UUID
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerReport

/** The response of a worker to a call. */
internal sealed interface WorkerResponse<out T> {
    data class Done<T>(val value: T) : WorkerResponse<T>

    data class Stale(val currentEpoch: Long) : WorkerResponse<Nothing>

    data class Refused(val reason: String) : WorkerResponse<Nothing>
}

/**
 * The fixed properties of a worker.
 *
 * Its reported usage lags by [usageLagMillis], and no lease lasts for more than
 * [longestLeaseMillis].
 */
internal data class WorkerProfile(
    val name: String,
    val rack: String,
    val capacity: Resources,
    val usageLagMillis: Long,
    val longestLeaseMillis: Long
)

/** The state of one worker; thread-safe, as all calls are synchronized. */
internal class WorkerState(private val profile: WorkerProfile, startMillis: Long) {
    private val tasks = linkedMapOf<String, WorkerTask>()
    private val history = mutableListOf<RunRecord>()
    private var incarnation = UUID.randomUUID().toString()
    private var epoch = 0L
    private var leaseExpiryMillis = Long.MIN_VALUE

    /** When the clock of this incarnation began. */
    private var bornMillis = 0L
    private var lastAdvanceMillis = startMillis
    private var lastUsageMillis = startMillis

    var failEveryTask = false
        @Synchronized set

    @Synchronized
    fun renew(renewal: LeaseRenewal, nowMillis: Long): WorkerResponse<WorkerReport> {
        advance(nowMillis)
        if (renewal.epoch < epoch) return WorkerResponse.Stale(epoch)
        epoch = renewal.epoch
        val clock = nowMillis - bornMillis
        if (renewal.echoMillis in 0..clock) {
            val end = renewal.echoMillis + renewal.ttlMillis
            val longest = clock + profile.longestLeaseMillis
            leaseExpiryMillis = maxOf(leaseExpiryMillis, bornMillis + minOf(end, longest))
        }
        renewal.acknowledged.forEach(::removeEnded)
        return WorkerResponse.Done(report(nowMillis))
    }

    @Synchronized
    fun start(order: StartOrder, nowMillis: Long): WorkerResponse<TaskReport> {
        advance(nowMillis)
        if (order.epoch < epoch) return WorkerResponse.Stale(epoch)
        epoch = order.epoch
        val current = tasks[order.taskId]
        if (current?.order?.attempt == order.attempt) return WorkerResponse.Done(current.report())
        refusalReason(order, current, nowMillis)?.let { return WorkerResponse.Refused(it) }
        return WorkerResponse.Done(run(order, nowMillis).report())
    }

    @Synchronized
    fun control(order: ControlOrder, nowMillis: Long): WorkerResponse<TaskReport> {
        advance(nowMillis)
        if (order.epoch < epoch) return WorkerResponse.Stale(epoch)
        epoch = order.epoch
        val task = tasks[order.taskId] ?: return WorkerResponse.Refused("no task ${order.taskId}")
        if (task.phase == TaskPhase.RUNNING) applyAction(task, order.action, nowMillis)
        return WorkerResponse.Done(task.report())
    }

    /** Advances the tasks to [nowMillis] and stops them if the lease has expired by then. */
    @Synchronized
    fun advance(nowMillis: Long) {
        val elapsed = minOf(nowMillis, leaseExpiryMillis.coerceAtLeast(lastAdvanceMillis)) -
            lastAdvanceMillis
        val running = running()
        for (task in running) {
            if (failEveryTask) task.fail() else task.advance(elapsed, slowdown(task, running))
            if (task.phase != TaskPhase.RUNNING) recordEnd(task, nowMillis)
        }
        if (nowMillis >= leaseExpiryMillis) running().forEach { stop(it, nowMillis) }
        updateUsage(nowMillis)
        lastAdvanceMillis = nowMillis
    }

    /** Restarts the worker: stops and drops all tasks; the next incarnation's clock starts anew. */
    @Synchronized
    fun restart(nowMillis: Long) {
        advance(nowMillis)
        running().forEach { stop(it, nowMillis) }
        tasks.clear()
        incarnation = UUID.randomUUID().toString()
        leaseExpiryMillis = Long.MIN_VALUE
        bornMillis = nowMillis
        epoch = 0
    }

    @Synchronized
    fun history(): List<RunRecord> = history.map { it.copy() }

    private fun refusalReason(order: StartOrder, current: WorkerTask?, nowMillis: Long): String? {
        val committed = running().fold(order.resources) { sum, task -> sum + task.order.resources }
        return when {
            nowMillis >= leaseExpiryMillis -> "no lease"
            current?.phase == TaskPhase.RUNNING -> "attempt ${current.order.attempt} is running"
            current?.phase == TaskPhase.FINISHED -> "attempt ${current.order.attempt} has finished"
            current != null && order.attempt < current.order.attempt ->
                "attempt ${current.order.attempt} came later"
            !committed.fitsIn(profile.capacity) -> "capacity exceeded: $committed"
            else -> null
        }
    }

    private fun run(order: StartOrder, nowMillis: Long): WorkerTask {
        val record = RunRecord(
            profile.name,
            order.taskId,
            order.attempt,
            order.epoch,
            nowMillis,
            System.currentTimeMillis()
        )
        history += record
        val task = WorkerTask(order, record)
        tasks[order.taskId] = task
        return task
    }

    private fun applyAction(task: WorkerTask, action: TaskAction, nowMillis: Long) = when (action) {
        TaskAction.CHECKPOINT -> task.saveCheckpoint()
        TaskAction.THROTTLE -> task.throttled = true
        TaskAction.UNTHROTTLE -> task.throttled = false
        TaskAction.STOP -> stop(task, nowMillis)
    }

    private fun stop(task: WorkerTask, nowMillis: Long) {
        task.stop()
        recordEnd(task, nowMillis)
    }

    private fun recordEnd(task: WorkerTask, nowMillis: Long) {
        task.record.phase = task.phase
        task.record.endedMillis = nowMillis
    }

    private fun removeEnded(taskId: String) {
        if (tasks[taskId]?.phase != TaskPhase.RUNNING) tasks -= taskId
    }

    private fun updateUsage(nowMillis: Long) {
        if (nowMillis - lastUsageMillis < profile.usageLagMillis) return
        tasks.values.forEach { it.updateUsage() }
        lastUsageMillis = nowMillis
    }

    private fun running() = tasks.values.filter { it.phase == TaskPhase.RUNNING }

    private fun slowdown(task: WorkerTask, running: List<WorkerTask>): Double = running
        .filter { it !== task }
        .fold(1.0) { f, other -> f * Interference.slowdown(task.command.kind, other.command.kind) }

    private fun report(nowMillis: Long) = WorkerReport(
        worker = profile.name,
        incarnation = incarnation,
        epoch = epoch,
        clockMillis = nowMillis - bornMillis,
        leaseRemainingMillis = (leaseExpiryMillis.coerceAtLeast(nowMillis) - nowMillis),
        capacity = profile.capacity,
        rack = profile.rack,
        tasks = tasks.values.map { it.report() }
    )
}
