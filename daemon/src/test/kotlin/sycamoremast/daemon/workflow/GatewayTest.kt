package sycamoremast.daemon.workflow

import arrow.core.Either
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.FailureReason
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.Recurrence
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.StoreSightings
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowFailure
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowScheduler
import sycamoremast.coordination.workflow.WorkflowStatus
import sycamoremast.coordination.workflow.WorkflowStep
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.workflow.MemoryStore.Fault

class GatewayTest {
    private val store = MemoryStore()
    private val gateway = Gateway(store, "host", 0, EventLog { }) { null }
    private val workflow = Workflow(
        "id",
        QueuePolicy("queue", "service"),
        "payload",
        listOf(WorkflowStep(1, Resources(1, 1))),
        submittedMillis = 0
    )

    private val failure =
        WorkflowFailure.of(TaskName("id", 0, 0, 0), FailureReason.WORKERS_CRASHED, mapOf(1 to "w"))

    private fun storedWorkflow() = store.entries[WorkflowKeys.job("id")]
        ?.let { decodeRecordOrNull<AcceptanceRecord>(it.value) }?.workflow

    @Test
    fun `stores an accepted workflow`() {
        expectThat(gateway.accept(workflow)).isEqualTo(Acceptance.Accepted)
        expectThat(storedWorkflow()).isEqualTo(workflow)
    }

    @Test
    fun `accepts a workflow submitted twice and stores it once`() {
        gateway.accept(workflow)
        val other = Gateway(store, "other", 0, EventLog { }) { null }
        expectThat(other.accept(workflow)).isEqualTo(Acceptance.Accepted)
        expectThat(store.entries.keys.count { it.startsWith(WorkflowKeys.JOBS) }).isEqualTo(1)
    }

    @Test
    fun `accepts a workflow whose write took effect without an answer`() {
        store.failCommits(Fault.ANSWER_LOST)
        expectThat(gateway.accept(workflow)).isEqualTo(Acceptance.Accepted)
    }

    @Test
    fun `rules out a delayed write before it refuses a submission`() {
        store.failCommits(Fault.DELAYED)
        expectThat(gateway.accept(workflow)).isA<Acceptance.Refused>()
        expectThat(store.applyDelayed().single()).isA<CommitResult.Conflict>()
        expectThat(storedWorkflow()).isNull()
    }

    @Test
    fun `returns an unknown outcome if neither acceptance nor refusal is certain`() {
        store.failCommits(Fault.DELAYED, Fault.REQUEST_LOST)
        expectThat(gateway.accept(workflow)).isA<Acceptance.Unknown>()
    }

    @Test
    fun `refuses a submission whose write was not sent`() {
        store.failCommits(Fault.NOT_SENT)
        expectThat(gateway.accept(workflow)).isA<Acceptance.Refused>()
        expectThat(storedWorkflow()).isNull()
    }

    @Test
    fun `refuses without a write during a known outage of the store`() {
        val refusing =
            Gateway(store, "host", 0, EventLog { }, isStoreUnavailable = { true }) { null }
        expectThat(refusing.accept(workflow)).isA<Acceptance.Refused>()
        expectThat(store.commits).isEqualTo(0)
    }

    @Test
    fun `accepts a workflow submitted again after a refusal`() {
        store.failCommits(Fault.DELAYED)
        gateway.accept(workflow)
        expectThat(gateway.accept(workflow)).isEqualTo(Acceptance.Accepted)
        expectThat(storedWorkflow()).isNotNull()
    }

    @Test
    fun `reports a refused workflow as absent to queries and cancellations`() {
        store.failCommits(Fault.DELAYED)
        gateway.accept(workflow)
        expectThat(gateway.status("id")).isEqualTo(Lookup.Absent)
        expectThat(gateway.cancel("id")).isEqualTo(Lookup.Absent)
    }

    @Test
    fun `refuses a workflow for good that was cancelled before it was submitted`() {
        expectThat(gateway.cancel("id")).isEqualTo(Lookup.Absent)
        expectThat(gateway.accept(workflow))
            .isEqualTo(Acceptance.Refused("the job was cancelled", null, isRuledOut = true))
        expectThat(gateway.status("id")).isEqualTo(Lookup.Absent)
    }

    // Guards against workflows whose tasks take more memory than an owner has.
    @Test
    fun `refuses a workflow with too many tasks for good and stores nothing`() {
        val small = Gateway(store, "host", 0, EventLog { }, maxTasksPerWorkflow = 5) { null }
        val step = WorkflowStep(3, Resources(1, 1))
        val wide = workflow.copy(steps = listOf(step, step))
        val repeated =
            workflow.copy(steps = listOf(step), recurrence = Recurrence(0, 1_000, Int.MAX_VALUE))
        for (large in listOf(wide, repeated)) {
            expectThat(small.accept(large)).isA<Acceptance.Refused>()
                .get { retryAfterSeconds }.isEqualTo(null)
        }
        expectThat(store.commits).isEqualTo(0)
        expectThat(small.accept(workflow.copy(steps = listOf(step)))).isEqualTo(Acceptance.Accepted)
    }

    @Test
    fun `accepts a workflow with too many tasks again that was accepted under a higher limit`() {
        gateway.accept(workflow)
        val small = Gateway(store, "host", 0, EventLog { }, maxTasksPerWorkflow = 0) { null }
        expectThat(small.accept(workflow)).isEqualTo(Acceptance.Accepted)
        store.isDown = true
        expectThat(small.accept(workflow)).isA<Acceptance.Unknown>()
    }

    @Test
    fun `answers no cancellation whose record may be missing`() {
        store.failCommits(Fault.DELAYED)
        expectThat(gateway.cancel("id")).isA<Lookup.Unavailable>()
        expectThat(gateway.cancel("id")).isEqualTo(Lookup.Absent)
    }

    @Test
    fun `returns the phase recorded by the owner on any host`() {
        gateway.accept(workflow)
        expectThat(gateway.status("id"))
            .isEqualTo(Lookup.Found(WorkflowStatus(WorkflowPhase.QUEUED)))
        val record = encodeRecord(WorkflowProgress(WorkflowPhase.COMPLETED))
        val put = StorePut(WorkflowKeys.progress(0, "id"), record)
        store.apply(StoreTransaction(emptyMap(), listOf(put)))
        expectThat(gateway.status("id"))
            .isEqualTo(Lookup.Found(WorkflowStatus(WorkflowPhase.COMPLETED)))
    }

    @Test
    fun `returns the recorded reason of a failed workflow on any host`() {
        val record = WorkflowProgress(WorkflowPhase.FAILED, failure = failure)
        val put = StorePut(WorkflowKeys.progress(0, "id"), encodeRecord(record))
        store.apply(StoreTransaction(emptyMap(), listOf(put)))
        expectThat(gateway.status("id"))
            .isEqualTo(Lookup.Found(WorkflowStatus(WorkflowPhase.FAILED, failure)))
    }

    @Test
    fun `returns the reason that an earlier owner recorded from memory`() {
        val loop = loopBeforeFirstCount()
        val progress = WorkflowProgress(WorkflowPhase.FAILED, failure = failure)
        loop.use {
            it.addWorkflow(workflow, progress, isRecovered = true)
            it.start()
            store.isDown = true
            val owner = Gateway(store, "host", 0, EventLog { }) { loop }
            repeat(MAX_QUERIES) { if (owner.status("id") !is Lookup.Found) Thread.sleep(1) }
            expectThat(owner.status("id"))
                .isEqualTo(Lookup.Found(WorkflowStatus(WorkflowPhase.FAILED, failure)))
        }
    }

    @Test
    fun `reports phase and cancellation as unavailable during an outage of the store`() {
        gateway.accept(workflow)
        store.isDown = true
        expectThat(gateway.status("id")).isA<Lookup.Unavailable>()
        expectThat(gateway.cancel("id")).isA<Lookup.Unavailable>()
    }

    // Guards against a state that is wrong for good once the records are deleted (LOST).
    @Test
    fun `knows no workflow whose records are deleted after their time`() {
        var nowMillis = 0L
        var reads = 0
        val counting = object : TransactionalStore by store {
            override fun get(key: String, mayBeStale: Boolean): Either<StoreError, StoreEntry?> {
                if (key == WorkflowKeys.job("id")) reads++
                return store.get(key, mayBeStale)
            }
        }
        val host =
            Gateway(
                counting,
                "host",
                0,
                EventLog { },
                statusMillis = 1_000,
                clock = { nowMillis }
            ) { null }
        host.accept(workflow)
        nowMillis = 999
        expectThat(host.status("id"))
            .isEqualTo(Lookup.Found(WorkflowStatus(WorkflowPhase.QUEUED)))
        expectThat(reads).isEqualTo(0)
        store.apply(StoreTransaction(emptyMap(), emptyList(), listOf(WorkflowKeys.job("id"))))
        nowMillis = 1_000
        expectThat(host.status("id")).isEqualTo(Lookup.Absent)
        expectThat(host.cancel("id")).isEqualTo(Lookup.Absent)
    }

    // Guards against a state that is wrong for a while after a late repetition of a submission (MIXED).
    @Test
    fun `knows no deleted workflow that was submitted again before`() {
        gateway.accept(workflow)
        val other = Gateway(store, "other", 0, EventLog { }) { null }
        expectThat(other.accept(workflow)).isEqualTo(Acceptance.Accepted)
        expectThat(other.status("id"))
            .isEqualTo(Lookup.Found(WorkflowStatus(WorkflowPhase.QUEUED)))
        store.apply(StoreTransaction(emptyMap(), emptyList(), listOf(WorkflowKeys.job("id"))))
        expectThat(other.status("id")).isEqualTo(Lookup.Absent)
    }

    @Test
    fun `returns no refusal while an earlier attempt may still take effect`() {
        var isUnavailable = false
        val host =
            Gateway(store, "host", 0, EventLog { }, isStoreUnavailable = { isUnavailable }) { null }
        store.failCommits(Fault.DELAYED, Fault.REQUEST_LOST)
        expectThat(host.accept(workflow)).isA<Acceptance.Unknown>()
        isUnavailable = true
        expectThat(host.accept(workflow)).isA<Acceptance.Unknown>()
        store.applyDelayed()
        expectThat(storedWorkflow()).isEqualTo(workflow)
    }

    @Test
    fun `reads the waiting count from the store before the owner's first count`() {
        val count = StorePut(WorkflowKeys.waiting(0), encodeRecord(WaitingRecord(mapOf("q" to 5))))
        store.apply(StoreTransaction(emptyMap(), listOf(count)))
        val owner = Gateway(store, "host", 0, EventLog { }) { loopBeforeFirstCount() }
        expectThat(owner.waitingCount("q")).isEqualTo(Lookup.Found(5))
    }

    private fun loopBeforeFirstCount() = SchedulerLoop(
        WorkflowScheduler(1, SchedulerSettings()),
        UnusedRunPort,
        RecordWriter(store, 0, Term(1, 0, StoreSightings(0)), EventLog { }),
        MonotonicClock.system(),
        EventLog { },
        WorkflowMeters(),
        { LeaseState.VALID }
    ) { }

    private companion object {
        /** At least ten seconds. */
        const val MAX_QUERIES = 10_000
    }
}

private object UnusedRunPort : RunPort {
    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) = error("unused")

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = error("unused")

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) = error("unused")

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = error("unused")
}
