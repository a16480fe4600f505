package sycamoremast.daemon.workflow

import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit.SECONDS
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.EndedRow
import sycamoremast.coordination.workflow.FailureReason
import sycamoremast.coordination.workflow.InterferenceRecord
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PairEffect
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.RosterRecord
import sycamoremast.coordination.workflow.RunEnd
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.RunningRow
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.StoreSightings
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.coordination.workflow.WorkerListing
import sycamoremast.coordination.workflow.WorkerRef
import sycamoremast.coordination.workflow.WorkerReport
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowStep
import sycamoremast.daemon.control.eventually
import sycamoremast.daemon.log.EventLog

class OwnershipTest {
    private val store = MemoryStore()
    private val clock = MonotonicClock.system()
    private val runs = IdleWorker(clock)
    private val deposed = CompletableFuture<String>()

    /** Whether committing a record fails for a reason that a retry does not change. */
    @Volatile
    private var isCommitBroken = false

    /** Whether committing a record ends the thread that does it, as a lack of memory would. */
    @Volatile
    private var isMemoryLacking = false
    private val meters = WorkflowMeters()
    private val lines = CopyOnWriteArrayList<String>()
    private val ownership = Ownership(
        object : TransactionalStore by store {
            override fun commit(transaction: StoreTransaction) = when {
                isCommitBroken -> error("record of NaN")
                isMemoryLacking -> throw OutOfMemoryError("planned by the test")
                else -> store.commit(transaction)
            }
        },
        OneWorkerCatalog,
        runs,
        0,
        SchedulerSettings(),
        clock,
        EventLog { lines += it },
        meters
    ) { null }.apply { onDeposed = { deposed.complete(it) } }

    @AfterEach
    fun endTerm() = ownership.onEnd("test")

    private fun put(key: String, value: String): Long = store.apply(
        StoreTransaction(emptyMap(), listOf(StorePut(key, value)))
    ).let { (it as CommitResult.Applied).revision }

    private fun claim(epoch: Long): Term {
        put(WorkflowKeys.owner(0), encodeRecord(OwnerRecord("host$epoch", epoch)))
        val revision = put(WorkflowKeys.epoch(0), encodeRecord(EpochRecord(epoch, 0)))
        return Term(epoch, revision, StoreSightings(clock.nowMillis()))
    }

    private fun accept(id: String) =
        put(WorkflowKeys.job(id), encodeRecord(AcceptanceRecord("attempt", workflow(id))))

    private fun workflow(id: String) = Workflow(
        id,
        QueuePolicy("queue", "service"),
        "payload",
        listOf(WorkflowStep(1, Resources(1, 1))),
        submittedMillis = 0
    )

    @Test
    fun `does not start a workflow accepted after another owner's claim`() {
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        ownership.onBegin(claim(1))
        accept("before")
        runs.awaitStart("before")
        synchronized(store) {
            claim(2)
            accept("after")
        }
        expectThat(deposed.get(WAIT_SECONDS, SECONDS)).contains("epoch 2")
        ownership.onEnd("another owner")
        expectThat(runs.started.map { it.task.workflow }).containsExactly("before")
    }

    @Test
    fun `ends the term if a workflow's progress can't be read`() {
        accept("job")
        put(WorkflowKeys.progress(0, "job"), "unreadable")
        ownership.onBegin(claim(1))
        expectThat(deposed.get(WAIT_SECONDS, SECONDS)).isEqualTo("recovery failed")
    }

    // Guards against an owner that goes on without recording anything.
    @Test
    fun `ends the term if records can't be written because of an error`() {
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        ownership.onBegin(claim(1))
        isCommitBroken = true
        accept("job")
        expectThat(deposed.get(WAIT_SECONDS, SECONDS)).isEqualTo("records error")
    }

    // Guards against an owner that renews its lease although one of its threads has ended.
    @Test
    fun `ends the term if the thread that writes records ends by an error`() {
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        ownership.onBegin(claim(1))
        isMemoryLacking = true
        accept("job")
        expectThat(deposed.get(WAIT_SECONDS, SECONDS)).isEqualTo("records error")
    }

    @Test
    fun `ends the term if the scheduler's thread ends by an error`() {
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        ownership.leaseState = { throw OutOfMemoryError("planned by the test") }
        ownership.onBegin(claim(1))
        expectThat(deposed.get(WAIT_SECONDS, SECONDS)).isEqualTo("scheduler error")
    }

    @Test
    fun `records the remaining leases of its workers at a planned stop`() {
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        ownership.onBegin(claim(1))
        accept("job")
        runs.awaitStart("job")
        ownership.onEnd(Ownership.SHUTDOWN)
        val text = store.entries.getValue(WorkflowKeys.roster(0)).value
        expectThat(decodeRecordOrNull<RosterRecord>(text)).isNotNull().and {
            get { epoch }.isEqualTo(1)
            get { leasesLeft }.isNotNull().get { getValue("w1") }.isGreaterThan(0)
        }
    }

    /** Returns the line on the leases at the end of a term that ends for [reason]. */
    private fun leasesAtEnd(reason: String, hasStore: Boolean = true): String {
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        ownership.onBegin(claim(1))
        accept("job")
        runs.awaitStart("job")
        store.isDown = !hasStore
        ownership.onEnd(reason)
        eventually("the end is logged") { lines.any { "leases-at-end" in it } }
        return lines.single { "leases-at-end" in it }
    }

    @Test
    fun `logs the leases that a planned end leaves behind, and that they are recorded`() {
        expectThat(leasesAtEnd(Ownership.SHUTDOWN))
            .contains("epoch=1 reason=shutdown durableMillisAgo=")
            .contains("workers=1 longestLeaseMillis=6")
            .contains("isHandedOver=true")
    }

    @Test
    fun `logs that a planned end could not be recorded`() {
        expectThat(leasesAtEnd(Ownership.SHUTDOWN, hasStore = false)).contains("isHandedOver=false")
    }

    @Test
    fun `logs the leases that another end leaves behind`() {
        expectThat(leasesAtEnd("lease ended"))
            .contains("reason=\"lease ended\"")
            .contains("longestLeaseMillis=6")
            .not().contains("isHandedOver")
    }

    @Test
    fun `begins a term although what was learned about interference can't be read`() {
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        put(WorkflowKeys.interference(0), "unreadable")
        accept("job")
        ownership.onBegin(claim(1))
        runs.awaitStart("job")
        expectThat(store.entries.getValue(WorkflowKeys.interference(0)).value)
            .isEqualTo("unreadable")
    }

    @Test
    fun `hands over what was learned about interference from owner to owner`() {
        val learned = InterferenceRecord(listOf(PairEffect("a", "b", 9.0, 0.5)), 1)
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        put(WorkflowKeys.interference(0), encodeRecord(learned))
        ownership.onBegin(claim(1))
        accept("job")
        runs.awaitStart("job")
        ownership.onEnd(Ownership.SHUTDOWN)
        val text = store.entries.getValue(WorkflowKeys.interference(0)).value
        expectThat(decodeRecordOrNull<InterferenceRecord>(text)).isNotNull()
            .get { effects.single().effect }.isEqualTo(9.0)
    }

    @Test
    fun `does not wait for a lost worker with no lease left after a planned stop`() {
        val lostWorkers = RosterRecord(
            listOf(WorkerRef(LOST_WORKER, "address")),
            1,
            mapOf(LOST_WORKER to 0L)
        )
        put(WorkflowKeys.roster(0), encodeRecord(lostWorkers))
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        accept("job")
        val began = clock.nowMillis()
        ownership.onBegin(claim(2))
        ownership.leaseState = { LeaseState.VALID }
        runs.awaitStart("job")
        expectThat(clock.nowMillis() - began).isLessThan(SchedulerSettings.PAST_LEASE_MILLIS)
    }

    // Guards against orders of an owner that was frozen and has not called the store since.
    @Test
    fun `ends the term before it gives an order if its lease ended long ago`() {
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        accept("job")
        ownership.leaseState = { LeaseState.OVER }
        ownership.onBegin(claim(1))
        expectThat(deposed.get(WAIT_SECONDS, SECONDS)).isEqualTo("lease ended long ago")
        expectThat(runs.started).isEmpty()
    }

    @Test
    fun `records, reports and counts why a workflow failed`() {
        runs.isFailing = true
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        ownership.onBegin(claim(1))
        accept("job")
        val loop = ownership.loop!!
        repeat(MAX_QUERIES) { if (loop.statusOrNull("job")?.failure == null) Thread.sleep(1) }
        val status = loop.statusOrNull("job")
        expectThat(status?.phase).isEqualTo(WorkflowPhase.FAILED)
        expectThat(status?.failure).isNotNull().and {
            get { task }.isEqualTo(TaskName("job", 0, 0, 0))
            get { reason }.isEqualTo(FailureReason.ATTEMPTS_USED_UP)
            get { runs.map { it.worker } }.isEqualTo(List(QueuePolicy("", "").maxAttempts) { "w1" })
        }
        val text = store.entries.getValue(WorkflowKeys.progress(0, "job")).value
        expectThat(decodeRecordOrNull<WorkflowProgress>(text)?.failure).isEqualTo(status?.failure)
        expectThat(meters.scrape().lines())
            .contains("sycamore_workflows_failed_total{reason=\"attempts_used_up\"} 1.0")
            .contains("sycamore_workflows_failed_total{reason=\"workers_crashed\"} 0.0")
    }

    // Guards against a wait that begins anew after each owner of a series that records nothing.
    @Test
    fun `does not wait anew for a lost worker if the last owner has recorded nothing`() {
        val lostWorkers = RosterRecord(
            listOf(WorkerRef(LOST_WORKER, "address")),
            1,
            mapOf(LOST_WORKER to 0L)
        )
        put(WorkflowKeys.roster(0), encodeRecord(lostWorkers))
        put(OneWorkerCatalog.workersPrefix + "w1", "")
        accept("job")
        claim(2)
        val began = clock.nowMillis()
        ownership.onBegin(claim(3))
        runs.awaitStart("job")
        expectThat(clock.nowMillis() - began).isLessThan(SchedulerSettings.PAST_LEASE_MILLIS)
    }

    private companion object {
        const val WAIT_SECONDS = 30L

        /** At least [WAIT_SECONDS]. */
        const val MAX_QUERIES = 30_000
    }
}

/** A catalog in which every entry is a worker with free capacity. */
private object OneWorkerCatalog : PlatformCatalog {
    override val routingKey = "routing"
    override val workersPrefix = "workers/"

    override fun routingOrNull(entry: StoreEntry): RoutingTable? = null

    override fun workerOrNull(entry: StoreEntry) = WorkerListing(
        WorkerRef(workerId(entry.key), "address"),
        "service",
        "zone",
        Resources(1_000, 1_000),
        emptyList(),
        isDraining = false
    )

    override fun workerId(key: String) = key.removePrefix(workersPrefix)
}

/** The ID of a worker that never answers. */
private const val LOST_WORKER = "gone"

/** A worker that accepts every order and ends no run by itself, unless it [isFailing]. */
private class IdleWorker(private val clock: MonotonicClock) : RunPort {
    val started = CopyOnWriteArrayList<StartOrder>()
    private val firstStart = CountDownLatch(1)

    /** Whether every run has failed by the next report. */
    @Volatile
    var isFailing = false

    fun awaitStart(workflow: String) {
        check(firstStart.await(30, SECONDS)) { "no run was started" }
        check(started.first().task.workflow == workflow) {
            "a run of another workflow was started first: $started"
        }
    }

    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) {
        started += order
        firstStart.countDown()
        done(answer())
    }

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = done(answer())

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = done(answer())

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) {
        if (order.worker.id == LOST_WORKER) return done(WorkerAnswer.Unknown("no answer"))
        val now = clock.nowMillis()
        val running = started.map { RunningRow(it.task, it.run, "", 0, null) }
        val ended = started.mapIndexed { i, start ->
            EndedRow(i + 1L, start.task, start.run, RunEnd.FAILED, "")
        }
        val report = if (isFailing) {
            WorkerReport(now, 1, now, emptyList(), ended)
        } else {
            WorkerReport(now, 1, now, running, emptyList())
        }
        done(WorkerAnswer.Reported(report))
    }

    private fun answer(): WorkerAnswer = clock.nowMillis().let { WorkerAnswer.Done(it, it) }
}
