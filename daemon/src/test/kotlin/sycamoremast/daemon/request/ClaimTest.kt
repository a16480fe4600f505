/** Tests idempotency keys with two entry hosts that share a store. */
package sycamoremast.daemon.request

import java.util.concurrent.CompletableFuture.supplyAsync
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import sycamoremast.coordination.membership.MemberState

class ClaimTest {
    private val store = MemoryStore()
    private val failNext = AtomicInteger()
    private val gate = CountDownLatch(1)

    @Volatile
    private var isGated = false
    private val backend = RawBackend {
        if (isGated) gate.await(20, TimeUnit.SECONDS)
        when {
            failNext.getAndSet(0) == 1 -> reset()
            else -> answer(it, "paid ${it.body}", "201 Created", listOf("X-Invoice: 7"))
        }
    }
    private val list = FakeHostList(listOf(FakeHostList.backend(backend.port)))
    private val memberships = listOf("entry-1" to "entry-2", "entry-2" to "entry-1")
        .map { (self, other) ->
            FakeMembership(FakeMembership.member(self), listOf(FakeMembership.member(other)))
        }
    private val hosts = memberships.map { membership ->
        val ports = testPorts(list, store = store, membership = membership)
        PathHarness(hostList = list, ports = ports).ready()
    }
    private val first = hosts[0]
    private val second = hosts[1]

    @AfterEach
    fun stop() {
        gate.countDown()
        hosts.forEach { it.close() }
        backend.close()
    }

    @Test
    fun `returns the first response to a repeat through the same host`() {
        val answers = List(2) { pay(first) }
        expectThat(answers.map { it.text() }.toSet()).isEqualTo(setOf("paid invoice 7"))
        expectThat(answers.map { it.statusCode() }.toSet()).isEqualTo(setOf(201))
        expectThat(answers.last().header("X-Invoice")).isEqualTo("7")
        expectThat(answers.last().header("X-Idempotency-State")).isEqualTo("answered")
        expectThat(backend.requests).hasSize(1)
    }

    // Proves: at-most-once | none | request-received
    @Test
    fun `returns the first response to a repeat through another host`() {
        pay(first)
        eventually { pay(second).outcome == "answered" }
        expectThat(pay(second).text()).isEqualTo("paid invoice 7")
        expectThat(backend.requests).hasSize(1)
    }

    @Test
    fun `does not run a repeat while the first request is in progress`() {
        isGated = true
        val running = supplyAsync { pay(first) }
        eventually { backend.requests.size == 1 }
        for (host in hosts) {
            val repeat = pay(host)
            expectThat(repeat.statusCode()).isEqualTo(409)
            expectThat(repeat.outcome).isEqualTo("unknown")
            expectThat(repeat.header("X-Idempotency-State")).isEqualTo("in-progress")
        }
        gate.countDown()
        expectThat(running.join().text()).isEqualTo("paid invoice 7")
        expectThat(backend.requests).hasSize(1)
    }

    // Proves: at-most-once | operator-race | request-received
    @Test
    fun `runs one of many concurrent requests with the same key`() {
        val callers = Executors.newCachedThreadPool()
        val calls = List(40) { supplyAsync({ pay(hosts[it % 2]) }, callers) }
        calls.forEach { it.join() }
        expectThat(backend.requests).hasSize(1)
        callers.shutdown()
    }

    // Proves: at-most-once | store-down | request-received
    // Proves: not-run-true | store-down | request-received
    @Test
    fun `refuses a request with a key as not run while the store is down`() {
        store.isDown = true
        val answer = pay(first)
        expectThat(answer.statusCode()).isEqualTo(503)
        expectThat(answer.outcome).isEqualTo("not-run")
        expectThat(answer.header("X-Failure")).isNotNull().contains("step=claiming")
        expectThat(backend.requests).isEmpty()
    }

    @Test
    fun `runs requests without a key while the store is down`() {
        store.isDown = true
        val answer = first.send("/invoices", "POST", "invoice 7")
        expectThat(answer.outcome).isEqualTo("answered")
        expectThat(store.writes).isEqualTo(0)
    }

    // Proves: at-most-once | answer-lost | request-received
    @Test
    fun `runs a request once if the store's reply to its claim is lost`() {
        store.answersToLose = 1
        expectThat(pay(first).text()).isEqualTo("paid invoice 7")
        eventually { pay(second).outcome == "answered" }
        expectThat(backend.requests).hasSize(1)
    }

    // Proves: at-most-once | kill | request-dispatched
    @Test
    fun `never reruns a request whose host failed before recording the result`() {
        isGated = true
        supplyAsync { pay(first) }
        eventually { backend.requests.size == 1 }
        memberships[1].others = listOf(FakeMembership.member("entry-1", state = MemberState.GONE))
        val repeat = pay(second)
        expectThat(repeat.statusCode()).isEqualTo(504)
        expectThat(repeat.outcome).isEqualTo("unknown")
        expectThat(repeat.header("X-Idempotency-State")).isEqualTo("unknown")
        expectThat(backend.requests).hasSize(1)
    }

    // Proves: at-most-once | kill | request-received
    @Test
    fun `never reruns a request whose host was restarted`() {
        isGated = true
        supplyAsync { pay(first) }
        eventually { backend.requests.size == 1 }
        memberships[1].others = listOf(FakeMembership.member("entry-1", incarnation = 2))
        expectThat(pay(second).header("X-Idempotency-State")).isEqualTo("unknown")
        expectThat(backend.requests).hasSize(1)
    }

    @Test
    fun `never reruns a request whose outcome is unknown`() {
        failNext.set(1)
        expectThat(pay(first).outcome).isEqualTo("unknown")
        expectThat(pay(first).header("X-Idempotency-State")).isEqualTo("unknown")
        expectThat(first.path.awaitIdle(20.seconds)).isTrue()
        expectThat(pay(second).header("X-Idempotency-State")).isEqualTo("unknown")
        expectThat(backend.requests).hasSize(1)
    }

    @Test
    fun `accepts a key again if its first request was not run`() {
        val listed = list.listed
        list.listed = emptyList()
        eventually { hosts.all { it.backendCount() == 0 } }
        expectThat(pay(first).outcome).isEqualTo("not-run")
        list.listed = listed
        hosts.forEach { it.ready() }
        eventually { pay(second).outcome == "answered" }
        expectThat(backend.requests).hasSize(1)
    }

    @Test
    fun `rejects a key that was used for another request`() {
        pay(first)
        val other = first.send("/invoices", "POST", "invoice 8", KEY)
        expectThat(other.statusCode()).isEqualTo(422)
        expectThat(backend.requests).hasSize(1)
    }

    // Proves: at-most-once | store-down | request-answering
    @Test
    fun `records a result once the store is available again`() {
        isGated = true
        val running = supplyAsync { pay(first) }
        eventually { backend.requests.size == 1 }
        store.isDown = true
        gate.countDown()
        expectThat(running.join().text()).isEqualTo("paid invoice 7")
        store.isDown = false
        expectThat(first.path.awaitIdle(20.seconds)).isTrue()
        expectThat(pay(second).text()).isEqualTo("paid invoice 7")
        expectThat(backend.requests).hasSize(1)
    }

    private fun pay(host: PathHarness) = host.send("/invoices", "POST", "invoice 7", KEY)

    private companion object {
        val KEY = mapOf("Idempotency-Key" to "invoice-7")
    }
}
