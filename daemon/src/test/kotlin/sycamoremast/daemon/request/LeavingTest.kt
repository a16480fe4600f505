/** Tests the drain of backend servers and entry hosts. */
package sycamoremast.daemon.request

import java.util.concurrent.CompletableFuture.supplyAsync
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import sycamoremast.coordination.HostState

class LeavingTest {
    // Proves: leaving | planned-stop | request-received
    @Test
    fun `sends no requests to a server that the host list marks as leaving`() {
        withTwo { harness, list, first, second ->
            list.listed = listOf(
                FakeHostList.backend(first.port, state = HostState.LEAVING),
                FakeHostList.backend(second.port)
            )
            expectOnlySecond(harness, first, second)
        }
    }

    @Test
    fun `sends no requests to a server that is removed from the host list`() {
        withTwo { harness, list, first, second ->
            list.listed = listOf(FakeHostList.backend(second.port))
            expectOnlySecond(harness, first, second)
        }
    }

    @Test
    fun `keeps using servers if most of them disappear from the host list at once`() {
        val backends = List(6) { RawBackend { answer(it, "done") } }
        val list = FakeHostList(backends.map { FakeHostList.backend(it.port) })
        PathHarness(hostList = list).ready().use { harness ->
            list.listed = list.listed.take(1)
            val unlisted = backends.drop(1)
            unlisted.forEach { it.requests.clear() }
            repeat(100) { harness.send("/photos/$it") }
            expectThat(unlisted.flatMap { it.requests }).isNotEmpty()
        }
        backends.forEach { it.close() }
    }

    // Proves: leaving | slow | request-dispatched
    @Test
    fun `sends no requests to a server that announces its drain before the host list does`() {
        val draining = RawBackend { answer(it, "last", headers = listOf("X-Draining: true")) }
        val staying = RawBackend { answer(it, "done") }
        val list = FakeHostList(listOf(draining, staying).map { FakeHostList.backend(it.port) })
        PathHarness(hostList = list).ready().use { harness ->
            val answers = List(50) { harness.send("/invoices", "POST", "invoice $it").text() }
            expectThat(draining.requests.size <= 1).isTrue()
            expectThat(answers.count { it == "last" }).isEqualTo(draining.requests.size)
        }
        listOf(draining, staying).forEach { it.close() }
    }

    // Proves: graceful-stop | planned-stop | request-answering
    @Test
    fun `finishes requests in progress on a leaving server`() {
        val gate = CountDownLatch(1)
        val backend = RawBackend {
            gate.await(20, TimeUnit.SECONDS)
            answer(it, "done")
        }
        val list = FakeHostList(listOf(FakeHostList.backend(backend.port)))
        PathHarness(hostList = list).ready().use { harness ->
            val call = supplyAsync { harness.send("/photos/1") }
            eventually { backend.requests.size == 1 }
            list.listed = listOf(FakeHostList.backend(backend.port, state = HostState.LEAVING))
            eventually { harness.backendCount() == 0 }
            gate.countDown()
            expectThat(call.join().text()).isEqualTo("done")
        }
        backend.close()
    }

    // Proves: graceful-stop | planned-stop | request-dispatched
    // Proves: not-run-true | planned-stop | request-received
    @Test
    fun `finishes requests in progress during a drain and refuses new ones`() {
        val gate = CountDownLatch(1)
        val backend = RawBackend {
            gate.await(20, TimeUnit.SECONDS)
            answer(it, "done")
        }
        PathHarness(backend).ready().use { harness ->
            val call = supplyAsync { harness.send("/photos/1") }
            eventually { backend.requests.size == 1 }
            harness.path.beginDrain()
            expectThat(harness.path.awaitIdle(0.3.seconds)).isFalse()
            val refused = harness.send("/photos/2")
            expectThat(refused.outcome).isEqualTo("not-run")
            expectThat(refused.header("Connection")).isEqualTo("close")
            gate.countDown()
            expectThat(call.join().text()).isEqualTo("done")
            expectThat(harness.path.awaitIdle(20.seconds)).isTrue()
            expectThat(harness.path.inProgress()).isEqualTo(0)
        }
        backend.close()
    }

    private fun withTwo(test: (PathHarness, FakeHostList, RawBackend, RawBackend) -> Unit) {
        val first = RawBackend { answer(it, "done") }
        val second = RawBackend { answer(it, "done") }
        val list = FakeHostList(listOf(first, second).map { FakeHostList.backend(it.port) })
        PathHarness(hostList = list).ready().use { test(it, list, first, second) }
        listOf(first, second).forEach { it.close() }
    }

    private fun expectOnlySecond(harness: PathHarness, first: RawBackend, second: RawBackend) {
        eventually { harness.backendCount() == 1 }
        first.requests.clear()
        repeat(30) { harness.send("/invoices", "POST", "invoice $it") }
        expectThat(first.requests).isEmpty()
        expectThat(second.requests).isNotEmpty()
    }
}
