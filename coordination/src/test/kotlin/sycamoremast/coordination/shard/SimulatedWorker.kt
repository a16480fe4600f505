/** A worker in virtual time that checks the invariants of task placement at each start. */
package sycamoremast.coordination.shard

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.WorkerReport

/**
 * A simulated worker.
 *
 * [rate] is the rate of the worker's clock. Stopping a task takes [stopMillis]; running one takes
 * its declared time multiplied by [scale].
 */
internal class SimulatedWorker(
    val name: String,
    val capacity: Resources,
    private val rate: Double,
    private val stopMillis: Long,
    private val bugs: Set<PlantedBug>,
    private val checker: InvariantChecker,
    private val scale: () -> Double = { 1.0 },
    private val fails: (StartOrder) -> Boolean
) {
    internal class Task(val order: StartOrder, val startedMillis: Long) {
        var phase = TaskPhase.RUNNING
        var stopAtMillis = Long.MAX_VALUE
        var isThrottled = false

        fun doneMillis(now: Long) =
            (order.resumeFrom?.doneMillis ?: 0) + (now - startedMillis).coerceAtLeast(0)
    }

    val tasks = LinkedHashMap<String, Task>()
    private var epoch = 0L
    private var leaseUntil = 0L
    private var incarnation = 1
    private var clockAtStart = 0L
    var isUp = true

    private fun clock(now: Long) = (now * rate).toLong()

    fun running(now: Long): List<Task> {
        advance(now)
        return tasks.values.filter { it.phase == TaskPhase.RUNNING }
    }

    fun crash(now: Long) {
        advance(now)
        tasks.clear()
        isUp = false
    }

    fun restart(now: Long) {
        incarnation++
        epoch = 0
        clockAtStart = clock(now)
        leaseUntil = 0
        isUp = true
    }

    fun renew(renewal: LeaseRenewal, now: Long): Either<WorkerError, WorkerReport> {
        advance(now)
        if (isStale(renewal.epoch)) return WorkerError.StaleEpoch("renew", name, epoch).left()
        epoch = maxOf(epoch, renewal.epoch)
        val reading = if (PlantedBug.ECHO_IGNORED in bugs) clock(now) else renewal.echoMillis
        if (reading in clockAtStart..clock(now)) {
            leaseUntil = maxOf(leaseUntil, reading + renewal.ttlMillis)
        }
        val acknowledgesEarly = PlantedBug.RESULT_ACKNOWLEDGED_EARLY in bugs
        val acknowledged = if (acknowledgesEarly) tasks.keys.toList() else renewal.acknowledged
        acknowledged.forEach { forget(it, now) }
        return WorkerReport(
            worker = name,
            incarnation = "$incarnation",
            epoch = epoch,
            clockMillis = clock(now),
            leaseRemainingMillis = (leaseUntil - clock(now)).coerceAtLeast(0),
            capacity = capacity,
            rack = "rack",
            tasks = reported(renewal.epoch).map { it.report(now) }
        ).right()
    }

    private fun reported(reportEpoch: Long): List<Task> {
        val isOwn = { task: Task -> task.order.epoch == reportEpoch }
        return tasks.values.filter { PlantedBug.TASKS_NOT_ADOPTED !in bugs || isOwn(it) }
    }

    fun start(order: StartOrder, now: Long): Either<WorkerError, TaskReport> {
        advance(now)
        if (isStale(order.epoch)) return WorkerError.StaleEpoch("start", name, epoch).left()
        val known = tasks[order.taskId]
        if (known?.order?.attempt == order.attempt) return known.report(now).right()
        if (known != null || leaseUntil <= clock(now)) {
            return WorkerError.Refused("start", name, "no lease, or another attempt").left()
        }
        val task = Task(order, now)
        tasks[order.taskId] = task
        checker.onStart(this, task, now)
        return task.report(now).right()
    }

    fun control(
        taskId: String,
        callEpoch: Long,
        action: TaskAction,
        now: Long
    ): Either<WorkerError, TaskReport> {
        advance(now)
        if (isStale(callEpoch)) return WorkerError.StaleEpoch("control", name, epoch).left()
        val task = tasks[taskId] ?: return WorkerError.Refused("control", name, "no task").left()
        if (action == TaskAction.STOP && task.phase == TaskPhase.RUNNING) {
            task.stopAtMillis = minOf(task.stopAtMillis, now + stopMillis)
        }
        val report = task.report(now)
        val isHidden = PlantedBug.UNCONFIRMED_STOP_NOT_COUNTED in bugs &&
            action == TaskAction.STOP &&
            report.phase == TaskPhase.RUNNING
        return (if (isHidden) report.copy(phase = TaskPhase.STOPPED) else report).right()
    }

    private fun isStale(callEpoch: Long) = when {
        PlantedBug.FENCING_OFF in bugs -> false
        PlantedBug.GENERATIONS_OFF in bugs -> callEpoch shr 24 < epoch shr 24
        else -> callEpoch < epoch
    }

    private fun forget(taskId: String, now: Long) {
        val task = tasks[taskId] ?: return
        if (task.phase == TaskPhase.RUNNING) return
        checker.onForget(this, task, now)
        tasks.remove(taskId)
    }

    private fun advance(now: Long) {
        val detectionDelay = if (PlantedBug.LAPSE_NOTICED_LATE in
            bugs
        ) {
            LAPSE_DETECTION_DELAY_MILLIS
        } else {
            0
        }
        val lapsedAt = (leaseUntil / rate).toLong() + detectionDelay
        for (task in tasks.values) {
            if (task.phase != TaskPhase.RUNNING) continue
            val left = task.order.workMillis - (task.order.resumeFrom?.doneMillis ?: 0)
            val doneAt = task.startedMillis + (left * scale()).toLong().coerceAtLeast(1)
            val endAt = minOf(doneAt, lapsedAt, task.stopAtMillis)
            if (endAt > now) continue
            task.phase = when {
                endAt < doneAt -> TaskPhase.STOPPED
                fails(task.order) -> TaskPhase.FAILED
                else -> TaskPhase.FINISHED
            }
            checker.onEnd(this, task)
        }
    }

    private fun Task.report(now: Long) = TaskReport(
        taskId = order.taskId,
        attempt = order.attempt,
        epoch = epoch,
        phase = phase,
        resources = order.resources,
        checkpoint = if (phase == TaskPhase.RUNNING || phase == TaskPhase.STOPPED) {
            Checkpoint(1, minOf(doneMillis(now), order.workMillis) / 2)
        } else {
            null
        },
        result = if (phase == TaskPhase.FINISHED) "done" else null
    )

    private companion object {
        const val LAPSE_DETECTION_DELAY_MILLIS = 2_000L
    }
}
