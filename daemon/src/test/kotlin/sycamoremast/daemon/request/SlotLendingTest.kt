/** Tests several entry hosts that share a backend server. */
package sycamoremast.daemon.request

import java.util.concurrent.CompletableFuture.supplyAsync
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import sycamoremast.coordination.request.LedgerTimes
import sycamoremast.coordination.request.ShareTimes

class SlotLendingTest {
    private val pools = mutableListOf<ExecutorService>()
    private val hub = PeerHub()
    private val running = AtomicInteger()
    private val most = AtomicInteger()
    private val backend = RawBackend {
        most.accumulateAndGet(running.incrementAndGet(), ::maxOf)
        Thread.sleep(10)
        running.decrementAndGet()
        answer(it, "done")
    }
    private val hosts = listOf("entry-1", "entry-2", "entry-3")
    private val paths = hosts.map { start(it) }.toMutableList()

    @AfterEach
    fun stop() {
        paths.forEach { it.close() }
        backend.close()
        pools.forEach { it.shutdownNow() }
    }

    @Test
    fun `borrows idle slots of other hosts while a host is busy`() {
        load(listOf(paths.first()))
        expectThat(most.get()).isGreaterThan(2)
        expectThat(most.get()).isLessThanOrEqualTo(6)
    }

    @Test
    fun `uses borrowed slots until a newly started host has its share`() {
        paths.last().close()
        val newcomer = start(hosts.last(), TEST_SETTINGS.copy(slotTimes = NEVER_JOINS))
        paths[paths.lastIndex] = newcomer
        expectThat(newcomer.path.notReadyBecause()).isNotEmpty()
        load(listOf(newcomer))
        expectThat(most.get()).isIn(1..4)
    }

    @Test
    fun `uses only its own share while a host is partitioned from the others`() {
        hub.isCut = true
        load(listOf(paths.first()))
        expectThat(most.get()).isEqualTo(2)
    }

    @Test
    fun `never uses more slots than there are over all hosts`() {
        load(paths)
        load(listOf(paths.last()))
        load(paths)
        expectThat(most.get()).isLessThanOrEqualTo(6)
    }

    private fun start(host: String, settings: RequestPathSettings = TEST_SETTINGS): PathHarness {
        val others = (hosts - host).map { FakeMembership.member(it) }
        val membership = FakeMembership(FakeMembership.member(host), others)
        val list = FakeHostList(listOf(FakeHostList.backend(backend.port, slots = 6)))
        val ports = testPorts(list, membership = membership, peers = hub.networkOf(host))
        return PathHarness(hostList = list, settings = settings, ports = ports).ready()
    }

    /**
     * Sends 120 requests through each of the [busy] hosts.
     *
     * The callers are so few that even a host with only its own share refuses none as late: whether
     * a request is late depends on the measured run time, which differs between machines.
     */
    private fun load(busy: List<PathHarness>) {
        val calls = busy.flatMap { path ->
            val callers = Executors.newFixedThreadPool(CALLERS_PER_HOST).also { pools += it }
            List(120) { supplyAsync({ path.send("/photos/$it") }, callers) }
        }
        expectThat(calls.map { it.join().outcome }.toSet()).isEqualTo(setOf("answered"))
    }

    private companion object {
        const val CALLERS_PER_HOST = 24
        val NEVER_JOINS = LedgerTimes(ShareTimes(joinMillis = Long.MAX_VALUE / 4))
    }
}
