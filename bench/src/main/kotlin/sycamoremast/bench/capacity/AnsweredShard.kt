/** A shard's state machine whose every call is answered at once, by a platform without faults. */
package sycamoremast.bench.capacity

import arrow.core.right
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
import sycamoremast.coordination.record.JobSpec
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.shard.ShardAction
import sycamoremast.coordination.shard.ShardEvent
import sycamoremast.coordination.shard.ShardMachine
import sycamoremast.coordination.shard.ShardSettings

/** The owner of a shard of [workers] workers, each with room for [ROOM] tasks. */
internal class AnsweredShard(workers: Int) {
    private val machine = ShardMachine(
        ShardSettings(
            owner = "entry-1",
            writer = "entry-1/1",
            ownerTiming = LeaseTiming(ttlMillis = 3_000, marginMillis = 200),
            workerTiming = LeaseTiming(ttlMillis = 2_500, marginMillis = 200),
            heartbeatMillis = HEARTBEAT_MILLIS
        )
    )
    private val running = List(workers) { LinkedHashMap<String, TaskReport>() }
    private var nowMillis = 1_000L
    private var version = 0L

    /** The text of the shard's document as last written. */
    var documentText = ""
        private set

    /** The writes of the document so far. */
    val writes: Long get() = version

    init {
        handle(ShardEvent.WorkersListed(List(workers, ::listed)))
        repeat(ROUNDS_TO_SETTLE) { round() }
    }

    /** Lets one heartbeat interval pass, with an answered renewal of each worker. */
    fun round() {
        nowMillis += HEARTBEAT_MILLIS
        handle(ShardEvent.Tick)
    }

    /** Submits one job and has its tasks placed. */
    fun runJob(name: String, tasks: Int, revision: Long = 1) {
        submit(name, JobSpec(tasks, TASK, expectedMillis = TASK_MILLIS), revision)
        check(running.sumOf { it.size } >= tasks) { "$tasks tasks of $name were not all placed" }
    }

    /** Lets all tasks finish and their results be recorded. */
    fun finishAll() {
        running.forEach { tasks ->
            tasks.replaceAll { _, report -> report.copy(phase = TaskPhase.FINISHED) }
        }
        repeat(ROUNDS_TO_SETTLE) { round() }
        val open = machine.snapshot().document.jobs.count { it.state == JobState.ACCEPTED }
        check(open == 0) { "$open jobs are still open" }
        running.forEach { it.clear() }
    }

    /** Submits a job with a task that fits on a worker only while that worker is empty. */
    fun submitWaiting(name: String) =
        submit(name, JobSpec(1, CAPACITY, expectedMillis = TASK_MILLIS), revision = 1)

    private fun submit(name: String, spec: JobSpec, revision: Long) =
        handle(ShardEvent.JobsListed("team-$name", revision, mapOf(name to spec)))

    private fun handle(event: ShardEvent) {
        val events = ArrayDeque(listOf(event))
        while (events.isNotEmpty()) {
            for (action in machine.handle(events.removeFirst(), nowMillis)) {
                answer(action)?.let { events += it }
            }
        }
    }

    private fun answer(action: ShardAction): ShardEvent? = when (action) {
        is ShardAction.GrantLease -> ShardEvent.LeaseGranted(action.call, LeaseId(1).right())
        is ShardAction.KeepLease -> ShardEvent.LeaseKept(action.call, true.right())
        is ShardAction.ReadOwner -> ShardEvent.OwnerRead(action.call, null.right())
        is ShardAction.ClaimOwner -> ShardEvent.OwnerClaimed(action.call, applied())
        is ShardAction.ReadDocument -> ShardEvent.DocumentRead(action.call, null.right())
        is ShardAction.WriteDocument -> written(action)
        is ShardAction.Renew -> renewed(action)
        is ShardAction.Start -> started(action)
        is ShardAction.Control, is ShardAction.RevokeLease -> error("not expected: $action")
        is ShardAction.ReportUnknown, is ShardAction.Note -> null
    }

    private fun applied() = SwapOutcome.Applied(++version).right()

    private fun written(action: ShardAction.WriteDocument): ShardEvent {
        documentText = action.text
        return ShardEvent.DocumentWritten(action.call, applied())
    }

    private fun renewed(action: ShardAction.Renew): ShardEvent {
        val report = WorkerReport(
            worker = action.worker,
            incarnation = "1",
            epoch = action.renewal.epoch,
            clockMillis = nowMillis,
            leaseRemainingMillis = action.renewal.ttlMillis,
            capacity = CAPACITY,
            rack = "rack-0",
            tasks = running[indexOf(action.worker)].values.toList()
        )
        return ShardEvent.Renewed(action.worker, action.call, report.right())
    }

    private fun started(action: ShardAction.Start): ShardEvent {
        val order = action.order
        val report =
            TaskReport(order.taskId, order.attempt, order.epoch, TaskPhase.RUNNING, order.resources)
        running[indexOf(action.worker)][order.taskId] = report
        return ShardEvent.Started(action.worker, order, report.right())
    }

    private fun listed(index: Int) = ListedHost(
        name = "worker-$index",
        address = "127.0.0.1:1",
        availabilityZone = "sigulda",
        rack = "rack-0",
        role = HostRole.WORKER,
        state = HostState.LIVE,
        capacity = CAPACITY
    )

    private fun indexOf(worker: String) = worker.removePrefix("worker-").toInt()

    companion object {
        /** The tasks that fit on one worker. */
        const val ROOM = 32
        private const val TASK_MILLIS = 3_600_000L
        private const val HEARTBEAT_MILLIS = 500L
        private const val ROUNDS_TO_SETTLE = 3
        private val CAPACITY = Resources(milliCpus = 32_000, memoryMib = 128_000)
        private val TASK = Resources(milliCpus = 1_000, memoryMib = 4_000)
    }
}
