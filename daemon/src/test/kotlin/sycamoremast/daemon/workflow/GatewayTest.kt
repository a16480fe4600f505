package sycamoremast.daemon.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowScheduler
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

    private fun stored() = store.entries[WorkflowKeys.job("id")]
        ?.let { decodeRecordOrNull<AcceptanceRecord>(it.value) }?.workflow

    @Test
    fun `an accepted workflow is in the store`() {
        expectThat(gateway.accept(workflow)).isEqualTo(Acceptance.Accepted)
        expectThat(stored()).isEqualTo(workflow)
    }

    @Test
    fun `the same workflow handed in again is accepted and stays one`() {
        gateway.accept(workflow)
        val other = Gateway(store, "other", 0, EventLog { }) { null }
        expectThat(other.accept(workflow)).isEqualTo(Acceptance.Accepted)
        expectThat(store.entries.keys.count { it.startsWith(WorkflowKeys.JOBS) }).isEqualTo(1)
    }

    @Test
    fun `a write that took effect without an answer is accepted`() {
        store.failCommits(Fault.LOST_AFTER)
        expectThat(gateway.accept(workflow)).isEqualTo(Acceptance.Accepted)
    }

    @Test
    fun `a refusal after a lost answer rules out that the write takes effect later`() {
        store.failCommits(Fault.LATE)
        expectThat(gateway.accept(workflow)).isA<Acceptance.Refused>()
        expectThat(store.carryOutLate().single()).isA<CommitResult.Conflict>()
        expectThat(stored()).isNull()
    }

    @Test
    fun `the outcome is unknown while neither can be established`() {
        store.failCommits(Fault.LATE, Fault.LOST_BEFORE)
        expectThat(gateway.accept(workflow)).isA<Acceptance.Unknown>()
    }

    @Test
    fun `a refused call of the store is a refusal`() {
        store.failCommits(Fault.REFUSED)
        expectThat(gateway.accept(workflow)).isA<Acceptance.Refused>()
        expectThat(stored()).isNull()
    }

    @Test
    fun `while the store is known to be out, nothing is sent and the caller is refused at once`() {
        val waiting = Gateway(store, "host", 0, EventLog { }, isStoreOut = { true }) { null }
        expectThat(waiting.accept(workflow)).isA<Acceptance.Refused>()
        expectThat(store.commits).isEqualTo(0)
    }

    @Test
    fun `a workflow that was refused may be handed in again`() {
        store.failCommits(Fault.LATE)
        gateway.accept(workflow)
        expectThat(gateway.accept(workflow)).isEqualTo(Acceptance.Accepted)
        expectThat(stored()).isNotNull()
    }

    @Test
    fun `a refused workflow is not shown and can't be cancelled`() {
        store.failCommits(Fault.LATE)
        gateway.accept(workflow)
        expectThat(gateway.phase("id")).isEqualTo(Lookup.Absent)
        expectThat(gateway.cancel("id")).isEqualTo(Lookup.Absent)
    }

    @Test
    fun `what the owner recorded is shown on every host`() {
        gateway.accept(workflow)
        expectThat(gateway.phase("id")).isEqualTo(Lookup.Found(WorkflowPhase.QUEUED))
        val record = encodeRecord(WorkflowProgress(WorkflowPhase.COMPLETED))
        val put = StorePut(WorkflowKeys.progress(0, "id"), record)
        store.apply(StoreTransaction(emptyMap(), listOf(put)))
        expectThat(gateway.phase("id")).isEqualTo(Lookup.Found(WorkflowPhase.COMPLETED))
    }

    @Test
    fun `without the store nothing is claimed about a workflow`() {
        gateway.accept(workflow)
        store.isDown = true
        expectThat(gateway.phase("id")).isA<Lookup.Unavailable>()
        expectThat(gateway.cancel("id")).isA<Lookup.Unavailable>()
    }

    @Test
    fun `no refusal is told while an earlier attempt may still take effect`() {
        var isOut = false
        val host = Gateway(store, "host", 0, EventLog { }, isStoreOut = { isOut }) { null }
        store.failCommits(Fault.LATE, Fault.LOST_BEFORE)
        expectThat(host.accept(workflow)).isA<Acceptance.Unknown>()
        isOut = true
        expectThat(host.accept(workflow)).isA<Acceptance.Unknown>()
        store.carryOutLate()
        expectThat(stored()).isEqualTo(workflow)
    }

    @Test
    fun `a new owner that has not counted yet leaves the count to the store`() {
        val count = StorePut(WorkflowKeys.waiting(0), encodeRecord(WaitingRecord(mapOf("q" to 5))))
        store.apply(StoreTransaction(emptyMap(), listOf(count)))
        val owner = Gateway(store, "host", 0, EventLog { }) { uncounted() }
        expectThat(owner.waiting("q")).isEqualTo(Lookup.Found(5))
    }

    private fun uncounted() = SchedulerLoop(
        WorkflowScheduler(1, SchedulerSettings()),
        UnusedRuns,
        RecordWriter(store, 0, 1, 0, EventLog { }),
        MonotonicClock.system(),
        EventLog { },
        WorkflowMeters(),
        { true }
    ) { }
}

private object UnusedRuns : RunPort {
    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) = error("unused")

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = error("unused")

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) = error("unused")

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = error("unused")
}
