/** A shard's state machine on a simulated platform that answers every call at once. */
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

/**
 * The owner of a shard with [workers] workers, each with capacity for [MAX_TASKS_PER_WORKER] tasks.
 *
 * No call fails, and time advances only in [runHeartbeatRound].
 */
internal class SimulatedShard(workers: Int) {
    private val machine = ShardMachine(
        ShardSettings(
            owner = "entry-1",
            writer = "entry-1/1",
            ownerTiming = LeaseTiming(ttlMillis = 3_000, marginMillis = 200),
            workerTiming = LeaseTiming(ttlMillis = 2_500, marginMillis = 200),
            heartbeatMillis = HEARTBEAT_MILLIS
        )
    )
    private val runningTasks = List(workers) { LinkedHashMap<String, TaskReport>() }
    private var nowMillis = 1_000L
    private var version = 0L

    /** The text of the shard's document as of the last write. */
    var documentText = ""
        private set

    /** The number of compare-and-swap writes so far, of the owner record and the document. */
    val writes: Long get() = version

    init {
        handle(ShardEvent.WorkersListed(List(workers, ::listedWorker)))
        repeat(SETTLE_ROUNDS) { runHeartbeatRound() }
    }

    /** Advances time by one heartbeat interval, in which each worker's lease is renewed. */
    fun runHeartbeatRound() {
        nowMillis += HEARTBEAT_MILLIS
        handle(ShardEvent.Tick)
    }

    /** Submits one job and checks that all its tasks are placed. */
    fun placeJob(name: String, tasks: Int, revision: Long = 1) {
        submit(name, JobSpec(tasks, TASK, expectedMillis = TASK_MILLIS), revision)
        check(runningTasks.sumOf { it.size } >= tasks) { "not all $tasks tasks of $name placed" }
    }

    /** Marks all running tasks as finished, runs heartbeats and checks that all jobs have ended. */
    fun finishAll() {
        runningTasks.forEach { tasks ->
            tasks.replaceAll { _, report -> report.copy(phase = TaskPhase.FINISHED) }
        }
        repeat(SETTLE_ROUNDS) { runHeartbeatRound() }
        val openJobs = machine.snapshot().document.jobs.count { it.state == JobState.ACCEPTED }
        check(openJobs == 0) { "$openJobs jobs are still open after all tasks finished" }
        runningTasks.forEach { it.clear() }
    }

    /** Submits a job with one task that needs a whole idle worker, so that it waits. */
    fun submitWaitingJob(name: String) =
        submit(name, JobSpec(1, CAPACITY, expectedMillis = TASK_MILLIS), revision = 1)

    private fun submit(name: String, spec: JobSpec, revision: Long) =
        handle(ShardEvent.JobsListed("team-$name", revision, mapOf(name to spec)))

    /** Handles [event] and, in turn, each response to the resulting actions. */
    private fun handle(event: ShardEvent) {
        val events = ArrayDeque(listOf(event))
        while (events.isNotEmpty()) {
            for (action in machine.handle(events.removeFirst(), nowMillis)) {
                respondTo(action)?.let { events += it }
            }
        }
    }

    private fun respondTo(action: ShardAction): ShardEvent? = when (action) {
        is ShardAction.GrantLease -> ShardEvent.LeaseGranted(action.call, LeaseId(1).right())
        is ShardAction.KeepLease -> ShardEvent.LeaseKept(action.call, true.right())
        is ShardAction.ReadOwner -> ShardEvent.OwnerRead(action.call, null.right())
        is ShardAction.ClaimOwner -> ShardEvent.OwnerClaimed(action.call, swapApplied())
        is ShardAction.ReadDocument -> ShardEvent.DocumentRead(action.call, null.right())
        is ShardAction.WriteDocument -> documentWritten(action)
        is ShardAction.Renew -> leaseRenewed(action)
        is ShardAction.Start -> taskStarted(action)
        is ShardAction.Control, is ShardAction.RevokeLease -> error("unexpected action: $action")
        is ShardAction.ReportUnknown, is ShardAction.Note -> null
    }

    private fun swapApplied() = SwapOutcome.Applied(++version).right()

    private fun documentWritten(action: ShardAction.WriteDocument): ShardEvent {
        documentText = action.text
        return ShardEvent.DocumentWritten(action.call, swapApplied())
    }

    private fun leaseRenewed(action: ShardAction.Renew): ShardEvent {
        val report = WorkerReport(
            worker = action.worker,
            incarnation = "1",
            epoch = action.renewal.epoch,
            clockMillis = nowMillis,
            leaseRemainingMillis = action.renewal.ttlMillis,
            capacity = CAPACITY,
            rack = "rack-0",
            tasks = runningTasks[workerIndex(action.worker)].values.toList()
        )
        return ShardEvent.Renewed(action.worker, action.call, report.right())
    }

    private fun taskStarted(action: ShardAction.Start): ShardEvent {
        val order = action.order
        val report =
            TaskReport(order.taskId, order.attempt, order.epoch, TaskPhase.RUNNING, order.resources)
        runningTasks[workerIndex(action.worker)][order.taskId] = report
        return ShardEvent.Started(action.worker, order, report.right())
    }

    private fun listedWorker(index: Int) = ListedHost(
        name = "worker-$index",
        address = "127.0.0.1:1",
        availabilityZone = "sigulda",
        rack = "rack-0",
        role = HostRole.WORKER,
        state = HostState.LIVE,
        capacity = CAPACITY
    )

    private fun workerIndex(worker: String) = worker.removePrefix("worker-").toInt()

    companion object {
        /** The number of tasks that fit on one worker. */
        const val MAX_TASKS_PER_WORKER = 32
        private const val TASK_MILLIS = 3_600_000L
        private const val HEARTBEAT_MILLIS = 500L
        private const val SETTLE_ROUNDS = 3
        private val CAPACITY = Resources(milliCpus = 32_000, memoryMib = 128_000)
        private val TASK = Resources(milliCpus = 1_000, memoryMib = 4_000)
    }
}
