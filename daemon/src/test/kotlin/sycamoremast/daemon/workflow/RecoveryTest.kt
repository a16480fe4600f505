package sycamoremast.daemon.workflow

import arrow.core.Either
import java.lang.ref.WeakReference
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StorePage
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.QueuePolicy
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.Workflow
import sycamoremast.coordination.workflow.WorkflowPhase
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowStep
import sycamoremast.daemon.control.eventually
import sycamoremast.daemon.log.EventLog

/** Lets hosts take over from an owner that leaves the records of many ended workflows. */
class RecoveryTest {
    private val memory = MemoryStore()
    private val lines = CopyOnWriteArrayList<String>()
    private val hosts = ArrayList<WorkflowHost>()

    @AfterEach
    fun stop() = hosts.forEach {
        it.handOver(limitMillis = 0)
        it.stop()
    }

    private fun startHost(
        store: TransactionalStore,
        settings: SchedulerSettings = SchedulerSettings()
    ): WorkflowHost {
        val host = WorkflowHost(
            "host${hosts.size}",
            WorkflowPorts(store, NoWorkers, EmptyCatalog),
            settings,
            EventLog { lines += it },
            WorkflowMeters()
        )
        hosts += host
        host.start()
        return host
    }

    private fun put(vararg puts: StorePut) {
        memory.apply(StoreTransaction(emptyMap(), puts.asList()))
    }

    private fun jobRecord(id: String, payload: String = "payload") = encodeRecord(
        AcceptanceRecord(
            "attempt",
            Workflow(
                id,
                QueuePolicy("queue", "service"),
                payload,
                listOf(WorkflowStep(1, Resources(1, 1))),
                submittedMillis = 0
            )
        )
    )

    private fun putEnded(
        ids: List<String>,
        payload: String = "payload",
        endedUnixMillis: Long = System.currentTimeMillis()
    ) = ids.forEach {
        val progress = WorkflowProgress(
            WorkflowPhase.COMPLETED,
            hasBegun = true,
            endedUnixMillis = endedUnixMillis
        )
        put(
            StorePut(WorkflowKeys.job(it), jobRecord(it, payload)),
            StorePut(WorkflowKeys.progress(0, it), encodeRecord(progress))
        )
    }

    private fun awaitRecovery() = eventually("a host has recovered the records") {
        lines.any { "event=recovered" in it }
    }

    // Guards against hosts that take ownership in turn as their leases end while they recover.
    @Test
    fun `keeps the ownership while recovery takes longer than a lease`() {
        putEnded(List(ENDED_WORKFLOWS) { "ended$it" })
        memory.pageEntries = ENDED_WORKFLOWS / SLOW_PAGES
        val store = LeasedStore(memory, pageMillis = SLOW_PAGE_MILLIS)
        startHost(store)
        awaitRecovery()
        Thread.sleep(LONGER_THAN_A_LEASE_MILLIS)
        expectThat(store.grants.get()).isEqualTo(1)
        expectThat(lines.filter { "event=owner-ended" in it }).isEqualTo(emptyList())
    }

    // Guards against an owner without a lease that goes on to read records.
    @Test
    fun `stops a recovery whose lease has ended`() {
        putEnded(List(ENDED_WORKFLOWS) { "ended$it" })
        memory.pageEntries = ENDED_WORKFLOWS / SLOW_PAGES
        val store = LeasedStore(memory, pageMillis = SLOW_PAGE_MILLIS)
        store.isRefusingRenewals = true
        startHost(store)
        eventually("the term ends") { lines.any { "reason=\"lease ended\"" in it } }
        expectThat(lines.any { "event=recovered" in it }).isFalse()
        store.isRefusingRenewals = false
        awaitRecovery()
    }

    // Guards against a lack of memory in recovery, which ended the processes of all hosts in turn.
    @Test
    fun `keeps no records of ended workflows in memory while it recovers`() {
        putEnded(List(ENDED_WORKFLOWS) { "ended$it" }, payload = "p")
        memory.pageEntries = ENDED_WORKFLOWS / PAGES
        val store = WeakPages(memory)
        startHost(store)
        awaitRecovery()
        expectThat(store.records).isGreaterThan(2 * ENDED_WORKFLOWS - 1)
        expectThat(store.mostKept).isLessThan(2 * memory.pageEntries + 1)
    }

    @Test
    fun `recovers workflows that have not ended from all pages`() {
        memory.pageEntries = 3
        putEnded(List(10) { "a$it" })
        put(StorePut(WorkflowKeys.job("b"), jobRecord("b")))
        putEnded(List(10) { "c$it" })
        put(StorePut(WorkflowKeys.job("d"), jobRecord("d")))
        val host = startHost(memory)
        awaitRecovery()
        eventually("all are known") { host.gateway.waitingCount("queue") == Lookup.Found(2) }
        expectThat(lines.first { "event=recovered" in it }).contains("workflows=20 open=0")
        expectThat(phase(host, "a3")).isEqualTo(WorkflowPhase.COMPLETED)
        expectThat(phase(host, "d")).isEqualTo(WorkflowPhase.QUEUED)
    }

    // Guards against a second run of a workflow whose end an earlier owner has recorded.
    @Test
    fun `knows ended workflows still when the history of the store is gone`() {
        putEnded(listOf("ended"))
        val host = startHost(memory)
        awaitRecovery()
        memory.dropHistory()
        put(StorePut(WorkflowKeys.job("later"), jobRecord("later")))
        eventually("the later one is known") {
            host.gateway.waitingCount("queue") == Lookup.Found(1)
        }
        expectThat(phase(host, "ended")).isEqualTo(WorkflowPhase.COMPLETED)
        expectThat(lines.find { "workflow-known" in it && "id=ended" in it }).isNull()
    }

    private fun keysOf(id: String) = synchronized(memory) {
        memory.entries.keys.filter { it.endsWith("/$id") }
    }

    private fun awaitForgotten(host: WorkflowHost, ids: List<String>) =
        eventually("the records are forgotten") {
            ids.all { keysOf(it).isEmpty() && host.gateway.status(it) == Lookup.Absent }
        }

    // Guards against takeovers and an owner's memory that grow with all that ever ran (LOST).
    @Test
    fun `forgets workflows that ended longer ago than their states have to be known`() {
        val old = List(OLD_WORKFLOWS) { "old$it" }
        putEnded(old, endedUnixMillis = System.currentTimeMillis() - LONG_AGO_MILLIS)
        put(StorePut(WorkflowKeys.cancel("old1"), "host"))
        putEnded(listOf("young"))
        val host = startHost(memory)
        awaitForgotten(host, old)
        expectThat(phase(host, "young")).isEqualTo(WorkflowPhase.COMPLETED)
        expectThat(keysOf("young").size).isEqualTo(2)
        eventually("it is logged") { lines.any { "event=records-forgotten" in it } }
    }

    // Guards against a new workflow that no owner knows, as its ID was that of an ended one (LOST).
    @Test
    fun `knows a workflow whose ID is used again once the last one is forgotten`() {
        putEnded(listOf("id"), endedUnixMillis = System.currentTimeMillis() - LONG_AGO_MILLIS)
        val host = startHost(memory)
        awaitForgotten(host, listOf("id"))
        put(StorePut(WorkflowKeys.job("id"), jobRecord("id")))
        eventually("it is known") { host.gateway.waitingCount("queue") == Lookup.Found(1) }
        expectThat(phase(host, "id")).isEqualTo(WorkflowPhase.QUEUED)
    }

    // Guards against an owner that keeps what it has deleted, as the store's history was gone.
    @Test
    fun `forgets workflows still when the history of the store is gone`() {
        val old = List(OLD_WORKFLOWS) { "old$it" }
        putEnded(old, endedUnixMillis = System.currentTimeMillis() - LONG_AGO_MILLIS)
        val host = startHost(memory)
        awaitRecovery()
        repeat(HISTORY_DROPS) {
            memory.dropHistory()
            Thread.sleep(HISTORY_DROP_INTERVAL_MILLIS)
        }
        awaitForgotten(host, old)
    }

    private fun phase(host: WorkflowHost, id: String) =
        (host.gateway.status(id) as? Lookup.Found)?.value?.phase

    private companion object {
        const val ENDED_WORKFLOWS = 400
        const val OLD_WORKFLOWS = 40
        const val LONG_AGO_MILLIS = 200_000L
        const val HISTORY_DROPS = 20
        const val HISTORY_DROP_INTERVAL_MILLIS = 100L
        const val PAGES = 20

        /** Two prefixes with so many pages each take twice as long as a lease of two seconds. */
        const val SLOW_PAGES = 10
        const val SLOW_PAGE_MILLIS = 200L
        const val LONGER_THAN_A_LEASE_MILLIS = 2_500L
    }
}

/** [store] with leases that end in time, and pages that take [pageMillis]. */
private class LeasedStore(private val store: MemoryStore, private val pageMillis: Long) :
    TransactionalStore by store {
    private class Deadline(val ttl: Duration) {
        @Volatile
        var nanos = System.nanoTime() + ttl.inWholeNanoseconds
    }

    private val deadlines = HashMap<LeaseId, Deadline>()
    val grants = AtomicInteger()

    @Volatile
    var isRefusingRenewals = false

    override fun grantLease(ttl: Duration): Either<StoreError, LeaseId> =
        store.grantLease(ttl).onRight {
            grants.incrementAndGet()
            synchronized(deadlines) { deadlines[it] = Deadline(ttl) }
        }

    override fun keepAlive(lease: LeaseId): Either<StoreError, Boolean> {
        endLeases()
        return synchronized(deadlines) {
            val deadline = deadlines[lease]
            deadline?.nanos = System.nanoTime() + (deadline?.ttl?.inWholeNanoseconds ?: 0)
            Either.Right(deadline != null)
        }
    }

    override fun page(
        prefix: String,
        after: String,
        mayBeStale: Boolean
    ): Either<StoreError, StorePage> {
        Thread.sleep(pageMillis)
        endLeases()
        return store.page(prefix, after, mayBeStale)
    }

    private fun endLeases() {
        val ended = synchronized(deadlines) {
            val now = System.nanoTime()
            deadlines.filterValues { isRefusingRenewals || it.nanos < now }.keys.toList()
                .onEach { deadlines -= it }
        }
        ended.forEach { store.revokeLease(it) }
    }
}

/** [store] with records that exist only in the pages it returns; counts those that are kept. */
private class WeakPages(private val store: MemoryStore) : TransactionalStore by store {
    private val returned = ArrayList<WeakReference<String>>()
    val records: Int get() = returned.size

    /** The most records of workflows that stayed in memory until a last page was asked for. */
    var mostKept = 0
        private set

    override fun page(
        prefix: String,
        after: String,
        mayBeStale: Boolean
    ): Either<StoreError, StorePage> = store.page(prefix, after, mayBeStale).map { page ->
        if (after.isNotEmpty() && !page.hasMore) mostKept = maxOf(mostKept, countKept())
        val copies = page.entries.map { it.copy(value = String(it.value.toCharArray())) }
        copies.filter { isOfWorkflow(it.key) }.mapTo(returned) { WeakReference(it.value) }
        page.copy(entries = copies)
    }

    private fun isOfWorkflow(key: String) =
        key.startsWith(WorkflowKeys.JOBS) || key.startsWith(WorkflowKeys.progress(0))

    /** Returns how many records are left once memory was needed for something else. */
    private fun countKept(): Int {
        repeat(GARBAGE_BLOCKS) {
            if (returned.count { it.get() != null } <= store.pageEntries) return@repeat
            garbage = ByteArray(GARBAGE_BLOCK_BYTES)
        }
        return returned.count { it.get() != null }
    }

    private var garbage = ByteArray(0)

    private companion object {
        /** Together several times the memory of the tests. */
        const val GARBAGE_BLOCKS = 50_000
        const val GARBAGE_BLOCK_BYTES = 100_000
    }
}

/** A catalog without workers. */
private object EmptyCatalog : PlatformCatalog {
    override val routingKey = "routing"
    override val workersPrefix = "workers/"

    override fun routingOrNull(entry: StoreEntry): RoutingTable? = null

    override fun workerOrNull(entry: StoreEntry) = null

    override fun workerId(key: String) = key.removePrefix(workersPrefix)
}
