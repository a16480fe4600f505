/** Tests waiting for slots through the complete request path. */
package sycamoremast.daemon.request

import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletableFuture.supplyAsync
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

class QueueTest {
    private val callers = Executors.newCachedThreadPool()
    private val gate = CountDownLatch(1)

    @AfterEach
    fun stop() {
        gate.countDown()
        callers.shutdownNow()
    }

    /** Returns a backend server that holds requests below `/archive` until the gate opens. */
    private fun gated(running: AtomicInteger = AtomicInteger()) = RawBackend {
        running.incrementAndGet()
        if ("/archive" in it.line) gate.await(20, TimeUnit.SECONDS)
        running.decrementAndGet()
        answer(it, "done")
    }

    @Test
    fun `runs no more requests at a time than there are slots`() {
        val running = AtomicInteger()
        val most = AtomicInteger()
        val backend = RawBackend {
            most.accumulateAndGet(running.incrementAndGet(), ::maxOf)
            Thread.sleep(5)
            running.decrementAndGet()
            answer(it, "done")
        }
        backend.use {
            PathHarness(hostList = slots(backend, 3)).ready().use { harness ->
                expectThat(outcomesOf(harness, 60)).isEqualTo(setOf("answered"))
            }
        }
        expectThat(most.get()).isLessThanOrEqualTo(3)
    }

    @Test
    fun `runs short requests while long ones wait for a slot`() {
        gated().use { backend ->
            PathHarness(hostList = slots(backend, 4)).ready().use { harness ->
                repeat(LEARNING_CALLS) { harness.send("/photos/0") }
                val longs = List(10) { call(harness, "/archive/$it") }
                eventually { backend.requests.size + harness.waitingCount() == LEARNING_CALLS + 10 }
                val short = harness.send("/photos/1")
                expectThat(short.text()).isEqualTo("done")
                gate.countDown()
                longs.forEach { it.join() }
            }
        }
    }

    // Proves: not-run-true | none | request-received
    @Test
    fun `refuses a request immediately if it can't run by its deadline`() {
        gated().use { backend ->
            PathHarness(hostList = slots(backend, 1)).ready().use { harness ->
                val first = call(harness, "/archive/1")
                eventually { backend.requests.size == 1 }
                val waiting = call(harness, "/archive/2")
                eventually { harness.waitingCount() == 1 }
                val late = harness.send(
                    "/archive/3",
                    headers = mapOf("X-Deadline-Millis" to "1000")
                )
                expectThat(late.statusCode()).isEqualTo(503)
                expectThat(late.outcome).isEqualTo("not-run")
                expectThat(late.header("X-Failure")).isNotNull().contains("step=queued")
                expectThat(late.header("X-Retry-After-Millis")!!.toLong()).isGreaterThan(0)
                gate.countDown()
                expectThat(first.join().text()).isEqualTo("done")
                expectThat(waiting.join().text()).isEqualTo("done")
            }
            expectThat(backend.requests.none { "/archive/3" in it.line }).isEqualTo(true)
        }
    }

    // Proves: not-run-true | none | request-queued
    @Test
    fun `refuses a waiting request before its deadline if no slot becomes free`() {
        gated().use { backend ->
            PathHarness(hostList = slots(backend, 1)).ready().use { harness ->
                val first = call(harness, "/archive/1")
                eventually { backend.requests.size == 1 }
                val vain = harness.send("/photos/1", headers = mapOf("X-Deadline-Millis" to "500"))
                expectThat(vain.outcome).isEqualTo("not-run")
                gate.countDown()
                first.join()
            }
            expectThat(backend.requests.size).isEqualTo(1)
        }
    }

    @Test
    fun `refuses requests while the queue is full`() {
        val settings = TEST_SETTINGS.copy(queueLimit = 2)
        gated().use { backend ->
            val list = slots(backend, 1)
            PathHarness(hostList = list, settings = settings).ready().use { harness ->
                val held = List(3) { call(harness, "/archive/$it") }
                eventually { harness.waitingCount() == 2 && backend.requests.size == 1 }
                val refused = harness.send("/archive/4")
                expectThat(refused.outcome).isEqualTo("not-run")
                expectThat(refused.text()).contains("the queue is full")
                gate.countDown()
                held.forEach { expectThat(it.join().text()).isEqualTo("done") }
            }
        }
    }

    @Test
    fun `refuses requests to a service without backend servers immediately`() {
        PathHarness(hostList = FakeHostList()).use {
            val answer = it.send("/photos/1")
            expectThat(answer.statusCode()).isEqualTo(503)
            expectThat(answer.outcome).isEqualTo("not-run")
        }
    }

    private fun slots(backend: RawBackend, count: Int) =
        FakeHostList(listOf(FakeHostList.backend(backend.port, slots = count)))

    /** Sends [calls] with so few callers that the queue admits all, however slow the machine is. */
    private fun outcomesOf(harness: PathHarness, calls: Int): Set<String?> {
        val few = Executors.newFixedThreadPool(CALLERS)
        val sent = List(calls) { supplyAsync({ harness.send("/photos/$it").outcome }, few) }
        return sent.map { it.join() }.toSet().also { few.shutdown() }
    }

    private fun call(
        harness: PathHarness,
        target: String
    ): CompletableFuture<HttpResponse<ByteArray>> = supplyAsync({ harness.send(target) }, callers)

    private companion object {
        const val CALLERS = 24

        /** The calls after which the first one, slowed by JIT compilation, has little weight. */
        const val LEARNING_CALLS = 5
    }
}
