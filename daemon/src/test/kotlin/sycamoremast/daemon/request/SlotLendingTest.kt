/** Several entry hosts over the same backend server. */
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
    fun `a busy host borrows the slots that idle ones do not use`() {
        load(listOf(paths.first()))
        expectThat(most.get()).isGreaterThan(2)
        expectThat(most.get()).isLessThanOrEqualTo(6)
    }

    @Test
    fun `a host that has just started lives on loans until it has its share`() {
        paths.last().close()
        val newcomer = start(hosts.last(), TEST_SETTINGS.copy(slotTimes = NEVER_JOINS))
        paths[paths.lastIndex] = newcomer
        expectThat(newcomer.path.notReadyBecause()).isNotEmpty()
        load(listOf(newcomer))
        expectThat(most.get()).isIn(1..4)
    }

    @Test
    fun `a busy host keeps to its share while it is cut off from the others`() {
        hub.isCut = true
        load(listOf(paths.first()))
        expectThat(most.get()).isEqualTo(2)
    }

    @Test
    fun `all hosts together never exceed the slots`() {
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
     * Its callers are so few that a host with its share alone would not refuse any as late: that
     * is decided by the run time learned, which differs with the machine.
     */
    private fun load(busy: List<PathHarness>) {
        val calls = busy.flatMap { path ->
            val callers = Executors.newFixedThreadPool(CALLERS_A_HOST).also { pools += it }
            List(120) { supplyAsync({ path.send("/photos/$it") }, callers) }
        }
        expectThat(calls.map { it.join().outcome }.toSet()).isEqualTo(setOf("answered"))
    }

    private companion object {
        const val CALLERS_A_HOST = 24
        val NEVER_JOINS = LedgerTimes(ShareTimes(joinMillis = Long.MAX_VALUE / 4))
    }
}
