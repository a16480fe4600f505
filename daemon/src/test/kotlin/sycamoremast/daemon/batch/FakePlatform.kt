/** In-memory fakes of the platform's ports that run in real time. */
package sycamoremast.daemon.batch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskPhase
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WatchListener
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.WorkerPort
import sycamoremast.coordination.WorkerReport

internal class FakeStore(private val clock: MonotonicClock) : KeyValueStore {
    private data class StoredEntry(val entry: StoreEntry, val lease: LeaseId?)

    private data class Lease(val ttlMillis: Long, val expiryMillis: Long)

    private val entries = sortedMapOf<String, StoredEntry>()
    private val leases = HashMap<LeaseId, Lease>()
    private var revision = 0L
    private var nextLease = 0L
    var writes = 0

    /** Makes [list] fail as if the store were unreachable; other calls still succeed. */
    @Volatile
    var isDown = false

    @Synchronized
    override fun get(key: String): Either<StoreError, StoreEntry?> {
        expire()
        return entries[key]?.entry.right()
    }

    @Synchronized
    override fun list(prefix: String): Either<StoreError, StoreListing> {
        if (isDown) return StoreError.NotSent("list", "fake", "down").left()
        expire()
        val found = entries.values.map { it.entry }.filter { it.key.startsWith(prefix) }
        return StoreListing(found, revision).right()
    }

    @Synchronized
    override fun compareAndSwap(
        key: String,
        expected: Long,
        value: String,
        lease: LeaseId?
    ): Either<StoreError, SwapOutcome> {
        expire()
        val current = entries[key]?.entry
        if ((current?.version ?: 0) != expected) return SwapOutcome.Conflict(current).right()
        if (lease != null && lease !in leases) {
            return StoreError.NotSent("swap", "fake", "no lease").left()
        }
        writes++
        entries[key] = StoredEntry(StoreEntry(key, value, ++revision), lease)
        return SwapOutcome.Applied(revision).right()
    }

    @Synchronized
    override fun compareAndDelete(key: String, expected: Long): Either<StoreError, SwapOutcome> {
        expire()
        val current = entries[key]?.entry
        if ((current?.version ?: 0) != expected) return SwapOutcome.Conflict(current).right()
        entries.remove(key)
        return SwapOutcome.Applied(++revision).right()
    }

    @Synchronized
    override fun grantLease(ttl: Duration): Either<StoreError, LeaseId> {
        val id = LeaseId(++nextLease)
        val millis = ttl.inWholeMilliseconds
        leases[id] = Lease(millis, clock.nowMillis() + millis)
        return id.right()
    }

    @Synchronized
    override fun keepAlive(lease: LeaseId): Either<StoreError, Boolean> {
        expire()
        val held = leases[lease] ?: return false.right()
        leases[lease] = held.copy(expiryMillis = clock.nowMillis() + held.ttlMillis)
        return true.right()
    }

    @Synchronized
    override fun revokeLease(lease: LeaseId): Either<StoreError, Unit> {
        leases.remove(lease)
        entries.values.removeIf { it.lease == lease }
        return Unit.right()
    }

    override fun watch(prefix: String, fromRevision: Long, listener: WatchListener) =
        AutoCloseable { }

    private fun expire() {
        val now = clock.nowMillis()
        leases.values.removeIf { it.expiryMillis <= now }
        entries.values.removeIf { it.lease != null && it.lease !in leases }
    }
}

/** A worker whose tasks run for their declared duration and stop when its lease expires. */
internal class FakeWorker(
    val name: String,
    private val clock: MonotonicClock,
    private val capacity: Resources = Resources(4_000, 8_000)
) : WorkerPort {
    private class Task(val order: StartOrder, val startedMillis: Long) {
        var phase = TaskPhase.RUNNING
        var epoch = order.epoch
    }

    private val tasks = LinkedHashMap<String, Task>()
    private var epoch = 0L
    private var leaseEndMillis = 0L
    val completedRuns = mutableListOf<String>()

    @Volatile
    var isReachable = true

    @Synchronized
    override fun renew(renewal: LeaseRenewal): Either<WorkerError, WorkerReport> =
        checkedCall("renew", renewal.epoch) {
            leaseEndMillis = maxOf(leaseEndMillis, renewal.echoMillis + renewal.ttlMillis)
            renewal.acknowledged.forEach { tasks.remove(it) }
            val now = clock.nowMillis()
            WorkerReport(
                name,
                name,
                epoch,
                now,
                (leaseEndMillis - now).coerceAtLeast(0),
                capacity,
                "rack",
                tasks.values.map { it.report() }
            ).right()
        }

    @Synchronized
    override fun start(order: StartOrder): Either<WorkerError, TaskReport> =
        checkedCall("start", order.epoch) {
            if (leaseEndMillis <= clock.nowMillis()) {
                return@checkedCall WorkerError.Refused("start", name, "no lease").left()
            }
            tasks.getOrPut(order.taskId) { Task(order, clock.nowMillis()) }.report().right()
        }

    @Synchronized
    override fun control(
        taskId: String,
        epoch: Long,
        action: TaskAction
    ): Either<WorkerError, TaskReport> = checkedCall("control", epoch) {
        val task = tasks[taskId]
            ?: return@checkedCall WorkerError.Refused("control", name, "no task").left()
        if (action == TaskAction.STOP && task.phase == TaskPhase.RUNNING) {
            task.phase = TaskPhase.STOPPED
        }
        task.report().right()
    }

    @Synchronized
    fun runningTasks(): List<String> {
        advance()
        return tasks.filterValues { it.phase == TaskPhase.RUNNING }.keys.toList()
    }

    private fun <T> checkedCall(
        step: String,
        callEpoch: Long,
        call: () -> Either<WorkerError, T>
    ): Either<WorkerError, T> {
        if (!isReachable) return WorkerError.AnswerLost(step, name, "unreachable").left()
        advance()
        if (callEpoch < epoch) return WorkerError.StaleEpoch(step, name, epoch).left()
        epoch = callEpoch
        return call()
    }

    private fun advance() {
        val now = clock.nowMillis()
        for (task in tasks.values.filter { it.phase == TaskPhase.RUNNING }) {
            val doneAt = task.startedMillis + task.order.workMillis
            if (doneAt <= minOf(now, leaseEndMillis)) {
                task.phase = TaskPhase.FINISHED
                completedRuns += task.order.taskId
            } else if (leaseEndMillis <= now) {
                task.phase = TaskPhase.STOPPED
            }
        }
    }

    private fun Task.report() = TaskReport(
        taskId = order.taskId,
        attempt = order.attempt,
        epoch = epoch,
        phase = phase,
        resources = order.resources,
        checkpoint = Checkpoint(1, clock.nowMillis() - startedMillis),
        result = if (phase == TaskPhase.FINISHED) "done" else null
    )
}
