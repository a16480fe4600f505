/** The rules that a worker keeps, without any HTTP; every call names the present time. */
package sycamoremast.standins

import java.util.UUID
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerReport

/** The answer to a call on a worker. */
internal sealed interface WorkerAnswer<out T> {
    data class Done<T>(val value: T) : WorkerAnswer<T>

    data class Stale(val currentEpoch: Long) : WorkerAnswer<Nothing>

    data class Refused(val reason: String) : WorkerAnswer<Nothing>
}

/** What a worker is: its name, its rack and its [capacity]. */
internal data class WorkerProfile(
    val name: String,
    val rack: String,
    val capacity: Resources,
    val usageLagMillis: Long
)

/** The state of one worker; not safe for use by several threads, hence its synchronized calls. */
internal class WorkerState(private val profile: WorkerProfile, startMillis: Long) {
    private val tasks = linkedMapOf<String, WorkerTask>()
    private val history = mutableListOf<RunRecord>()
    private var incarnation = UUID.randomUUID().toString()
    private var epoch = 0L
    private var leaseEndMillis = Long.MIN_VALUE
    private var restartedMillis = Long.MIN_VALUE
    private var advancedMillis = startMillis
    private var measuredMillis = startMillis

    var failEveryTask = false
        @Synchronized set

    @Synchronized
    fun renew(renewal: LeaseRenewal, nowMillis: Long): WorkerAnswer<WorkerReport> {
        advance(nowMillis)
        if (renewal.epoch < epoch) return WorkerAnswer.Stale(epoch)
        epoch = renewal.epoch
        if (renewal.echoMillis > restartedMillis && renewal.echoMillis <= nowMillis) {
            leaseEndMillis = maxOf(leaseEndMillis, renewal.echoMillis + renewal.ttlMillis)
        }
        renewal.acknowledged.forEach(::forget)
        return WorkerAnswer.Done(report(nowMillis))
    }

    @Synchronized
    fun start(order: StartOrder, nowMillis: Long): WorkerAnswer<TaskReport> {
        advance(nowMillis)
        if (order.epoch < epoch) return WorkerAnswer.Stale(epoch)
        epoch = order.epoch
        val known = tasks[order.taskId]
        if (known?.order?.attempt == order.attempt) return WorkerAnswer.Done(known.report())
        refusal(order, known, nowMillis)?.let { return WorkerAnswer.Refused(it) }
        return WorkerAnswer.Done(run(order, nowMillis).report())
    }

    @Synchronized
    fun control(order: ControlOrder, nowMillis: Long): WorkerAnswer<TaskReport> {
        advance(nowMillis)
        if (order.epoch < epoch) return WorkerAnswer.Stale(epoch)
        epoch = order.epoch
        val task = tasks[order.taskId] ?: return WorkerAnswer.Refused("no task ${order.taskId}")
        if (task.phase == TaskPhase.RUNNING) act(task, order.action, nowMillis)
        return WorkerAnswer.Done(task.report())
    }

    /** Brings the tasks up to [nowMillis] and stops them if the lease has lapsed by then. */
    @Synchronized
    fun advance(nowMillis: Long) {
        val elapsed = minOf(nowMillis, leaseEndMillis.coerceAtLeast(advancedMillis)) -
            advancedMillis
        val running = running()
        for (task in running) {
            if (failEveryTask) task.fail() else task.advance(elapsed, slowdown(task, running))
            if (task.phase != TaskPhase.RUNNING) end(task, nowMillis)
        }
        if (nowMillis >= leaseEndMillis) running().forEach { stop(it, nowMillis) }
        measure(nowMillis)
        advancedMillis = nowMillis
    }

    /** Loses all tasks, as a restart of the worker would. */
    @Synchronized
    fun restart(nowMillis: Long) {
        advance(nowMillis)
        running().forEach { stop(it, nowMillis) }
        tasks.clear()
        incarnation = UUID.randomUUID().toString()
        leaseEndMillis = Long.MIN_VALUE
        restartedMillis = nowMillis
        epoch = 0
    }

    @Synchronized
    fun history(): List<RunRecord> = history.map { it.copy() }

    private fun refusal(order: StartOrder, known: WorkerTask?, nowMillis: Long): String? {
        val committed = running().fold(order.resources) { sum, task -> sum + task.order.resources }
        return when {
            nowMillis >= leaseEndMillis -> "no lease"
            known?.phase == TaskPhase.RUNNING -> "attempt ${known.order.attempt} is running"
            known?.phase == TaskPhase.FINISHED -> "attempt ${known.order.attempt} has finished"
            known != null && order.attempt < known.order.attempt ->
                "attempt ${known.order.attempt} came later"
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

    private fun act(task: WorkerTask, action: TaskAction, nowMillis: Long) = when (action) {
        TaskAction.CHECKPOINT -> task.saveCheckpoint()
        TaskAction.THROTTLE -> task.throttled = true
        TaskAction.UNTHROTTLE -> task.throttled = false
        TaskAction.STOP -> stop(task, nowMillis)
    }

    private fun stop(task: WorkerTask, nowMillis: Long) {
        task.stop()
        end(task, nowMillis)
    }

    private fun end(task: WorkerTask, nowMillis: Long) {
        task.record.phase = task.phase
        task.record.endedMillis = nowMillis
    }

    private fun forget(taskId: String) {
        if (tasks[taskId]?.phase != TaskPhase.RUNNING) tasks -= taskId
    }

    private fun measure(nowMillis: Long) {
        if (nowMillis - measuredMillis < profile.usageLagMillis) return
        tasks.values.forEach { it.measureUsage() }
        measuredMillis = nowMillis
    }

    private fun running() = tasks.values.filter { it.phase == TaskPhase.RUNNING }

    private fun slowdown(task: WorkerTask, running: List<WorkerTask>): Double = running
        .filter { it !== task }
        .fold(1.0) { f, other -> f * Interference.slowdown(task.command.kind, other.command.kind) }

    private fun report(nowMillis: Long) = WorkerReport(
        worker = profile.name,
        incarnation = incarnation,
        epoch = epoch,
        clockMillis = nowMillis,
        leaseRemainingMillis = (leaseEndMillis.coerceAtLeast(nowMillis) - nowMillis),
        capacity = profile.capacity,
        rack = profile.rack,
        tasks = tasks.values.map { it.report() }
    )
}
