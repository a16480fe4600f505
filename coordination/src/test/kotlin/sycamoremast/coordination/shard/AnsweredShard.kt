/** A shard whose store and workers answer every call without delay. */
package sycamoremast.coordination.shard

import arrow.core.Either
import arrow.core.right
import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerReport
import sycamoremast.coordination.lease.LeaseTiming

/** A shard of [workers] with 32 CPUs each; its tasks run until [finishAll] is called. */
internal class AnsweredShard(workers: Int, private val reportsCheckpoints: Boolean = false) {
    private val timing = LeaseTiming(ttlMillis = 60_000, marginMillis = 100)
    private val machine = ShardMachine(ShardSettings("h", "h#1", timing, timing, HEARTBEAT_MILLIS))
    private val queue = ArrayDeque<ShardEvent>()
    private val running = HashMap<String, LinkedHashMap<String, TaskReport>>()
    private var version = 0L
    private var now = 0L
    var starts = 0
        private set
    var writes = 0
        private set
    var largestWrite = 0
        private set

    init {
        deliver(ShardEvent.WorkersListed((0 until workers).map { listed("w$it") }))
        deliver(ShardEvent.Tick)
        while (queue.isNotEmpty()) answerOne()
    }

    val snapshot: ShardSnapshot get() = machine.snapshot()

    val runningTasks: Int
        get() = running.values.sumOf { tasks ->
            tasks.values.count { it.phase == TaskPhase.RUNNING }
        }

    /** Answers the calls in flight, then advances the time by [millis]. */
    fun answerAll(millis: Long = 20) {
        repeat(queue.size) { answerOne() }
        now += millis
        deliver(ShardEvent.Tick)
    }

    /** Answers calls until [condition] holds; fails if it does not hold after [MAX_ROUNDS]. */
    fun answerUntil(condition: () -> Boolean) {
        repeat(MAX_ROUNDS) {
            if (condition()) return
            answerAll()
        }
        error("condition not met within the maximum number of rounds; $starts tasks started")
    }

    /** Finishes all running tasks and passes enough heartbeats for the shard to settle. */
    fun finishAll() {
        for (tasks in running.values) {
            tasks.replaceAll { _, task -> task.copy(phase = TaskPhase.FINISHED) }
        }
        repeat(SETTLING_HEARTBEATS) { answerAll(HEARTBEAT_MILLIS) }
    }

    fun deliver(event: ShardEvent) {
        machine.handle(event, now).mapNotNullTo(queue, ::answer)
    }

    /** The answers that have not been delivered to the machine yet. */
    val undeliveredAnswers: List<ShardEvent> get() = queue

    fun answerOne() {
        queue.removeFirstOrNull()?.let(::deliver)
    }

    private fun answer(action: ShardAction): ShardEvent? = when (action) {
        is ShardAction.ReadOwner -> ShardEvent.OwnerRead(action.call, null.right())

        is ShardAction.GrantLease -> ShardEvent.LeaseGranted(action.call, LeaseId(1).right())

        is ShardAction.KeepLease -> ShardEvent.LeaseKept(action.call, true.right())

        is ShardAction.ClaimOwner -> ShardEvent.OwnerClaimed(action.call, applied())

        is ShardAction.ReadDocument -> ShardEvent.DocumentRead(action.call, null.right())

        is ShardAction.WriteDocument -> {
            writes++
            largestWrite = maxOf(largestWrite, action.text.toByteArray().size)
            ShardEvent.DocumentWritten(action.call, applied())
        }

        is ShardAction.Renew -> ShardEvent.Renewed(action.worker, action.call, report(action))

        is ShardAction.Start -> ShardEvent.Started(action.worker, action.order, started(action))

        is ShardAction.Control -> {
            val task = tasksOn(action.worker).getValue(action.taskId).copy(phase = STOPPED)
            tasksOn(action.worker)[action.taskId] = task
            ShardEvent.Controlled(
                action.worker,
                action.taskId,
                action.epoch,
                action.action,
                task.right()
            )
        }

        else -> null
    }

    private fun applied() = SwapOutcome.Applied(++version).right()

    private fun tasksOn(worker: String) = running.getOrPut(worker) { LinkedHashMap() }

    private fun report(action: ShardAction.Renew): Either<Nothing, WorkerReport> {
        action.renewal.acknowledged.forEach { tasksOn(action.worker).remove(it) }
        return WorkerReport(
            worker = action.worker,
            incarnation = "1",
            epoch = action.renewal.epoch,
            clockMillis = now,
            leaseRemainingMillis = 60_000,
            capacity = Resources(32_000, 64_000),
            rack = "r${action.worker.hashCode() % 100}",
            tasks = tasksOn(action.worker).values.map(::withCheckpoint)
        ).right()
    }

    private fun withCheckpoint(task: TaskReport) =
        if (reportsCheckpoints) task.copy(checkpoint = Checkpoint(now, now)) else task

    private fun started(action: ShardAction.Start): Either<Nothing, TaskReport> {
        starts++
        val order = action.order
        val phase = TaskPhase.RUNNING
        val task =
            TaskReport(order.taskId, order.attempt, order.epoch, phase, order.resources)
        tasksOn(action.worker)[order.taskId] = task
        return task.right()
    }

    private fun listed(name: String) =
        ListedHost(name, "127.0.0.1:1", "Gauja", "r", HostRole.WORKER, HostState.LIVE)

    private companion object {
        const val HEARTBEAT_MILLIS = 500L
        const val MAX_ROUNDS = 5_000
        const val SETTLING_HEARTBEATS = 4
        val STOPPED = TaskPhase.STOPPED
    }
}
