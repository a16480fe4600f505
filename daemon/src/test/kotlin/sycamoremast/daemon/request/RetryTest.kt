/** Tests when a request is retried and when it must not be. */
package sycamoremast.daemon.request

import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

class RetryTest {
    private fun flaky(failures: Int, fail: RawConnection.(RawRequest) -> Boolean): RawBackend {
        val left = AtomicInteger(failures)
        return RawBackend {
            if (left.getAndDecrement() > 0) fail(it) else answer(it, "done")
        }
    }

    // Proves: whole-answer | reset | request-dispatched
    @Test
    fun `retries an idempotent request after a connection reset`() {
        flaky(1) { reset() }.use { backend ->
            PathHarness(backend).ready().use {
                val answer = it.send("/photos/1")
                expectThat(answer.text()).isEqualTo("done")
                expectThat(answer.outcome).isEqualTo("answered")
            }
            expectThat(backend.requests).hasSize(2)
        }
    }

    @Test
    fun `retries an idempotent request after a truncated response`() {
        val cut: RawConnection.(RawRequest) -> Boolean = {
            write("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nonly this")
            false
        }
        flaky(1, cut).use { backend ->
            PathHarness(backend).ready().use {
                expectThat(it.send("/photos/1", "POST", "photo").text()).isEqualTo("done")
            }
            expectThat(backend.requests.map { it.body }).isEqualTo(listOf("photo", "photo"))
        }
    }

    // Proves: at-most-once | reset | request-dispatched
    // Proves: at-most-once | reset | request-answering
    @Test
    fun `never retries a request that is not idempotent after it was sent`() {
        flaky(1) { reset() }.use { backend ->
            PathHarness(backend).ready().use {
                val answer = it.send("/invoices", "POST", "invoice 1")
                expectThat(answer.outcome).isEqualTo("unknown")
            }
            expectThat(backend.requests).hasSize(1)
        }
    }

    // Proves: at-most-once | none | request-answering
    @ParameterizedTest
    @ValueSource(strings = ["GET", "POST"])
    fun `forwards a 503 with Retry-After 0 without retrying the request`(method: String) {
        val invite: RawConnection.(RawRequest) -> Boolean = {
            answer(it, "again", "503 Service Unavailable", listOf("Retry-After: 0"))
        }
        flaky(2, invite).use { backend ->
            PathHarness(backend).ready().use {
                val answer = it.send("/invoices", method, if (method == "POST") "invoice" else "")
                expectThat(answer.text()).isEqualTo("again")
                expectThat(answer.outcome).isEqualTo("answered")
            }
            expectThat(backend.requests).hasSize(1)
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["slots", "leaving"])
    fun `retries a refused request even if it is not idempotent`(reason: String) {
        val refuse: RawConnection.(RawRequest) -> Boolean = {
            answer(it, "", "503 Service Unavailable", listOf("X-Not-Run: $reason"))
        }
        flaky(2, refuse).use { backend ->
            PathHarness(backend).ready().use {
                expectThat(it.send("/invoices", "POST", "invoice 1").text()).isEqualTo("done")
            }
            expectThat(backend.requests).hasSize(3)
        }
    }

    @Test
    fun `sends a request to another server if one can't be reached`() {
        val unused = ServerSocket(0).use { it.localPort }
        RawBackend { answer(it, "done") }.use { backend ->
            val listed = listOf(unused, backend.port).map { FakeHostList.backend(it) }
            PathHarness(hostList = FakeHostList(listed)).ready().use { harness ->
                val answers = List(50) { harness.send("/invoices", "POST", "invoice $it") }
                expectThat(answers.map { it.outcome }.toSet()).isEqualTo(setOf("answered"))
            }
            expectThat(backend.requests).hasSize(50)
        }
    }

    @Test
    fun `limits retries to the retry budget if all attempts fail`() {
        RawBackend { reset() }.use { backend ->
            PathHarness(backend).ready().use { harness ->
                repeat(200) { harness.send("/photos/1", headers = SHORT_DEADLINE) }
            }
            val burst = 10
            val share = 200 * REPORTS.retryPercent / 100
            expectThat(backend.requests.size).isLessThanOrEqualTo(200 + share + burst)
        }
    }

    // Proves: not-run-true | reset | request-answering
    @Test
    fun `returns unknown for a refused retry if an earlier attempt may have run`() {
        val attempts = AtomicInteger()
        val backend = RawBackend {
            if (attempts.getAndIncrement() == 0) {
                reset()
            } else {
                answer(it, "", "503 Service Unavailable", listOf("X-Not-Run: slots"))
            }
        }
        backend.use {
            PathHarness(backend).ready().use {
                val answer = it.send("/photos/1")
                expectThat(answer.outcome).isEqualTo("unknown")
            }
            expectThat(attempts.get()).isGreaterThan(1)
        }
    }

    @Test
    fun `starts no retry after the deadline`() {
        RawBackend { reset() }.use { backend ->
            PathHarness(backend).ready().use { harness ->
                val began = System.nanoTime()
                harness.send("/photos/1", headers = mapOf("X-Deadline-Millis" to "300"))
                val tookMillis = (System.nanoTime() - began) / 1_000_000
                expectThat(tookMillis).isLessThan(10_000)
            }
            expectThat(backend.requests.map { it.headers.getValue("x-deadline-millis").toLong() })
                .get { all { it in 1..300 } }.isEqualTo(true)
        }
    }

    private companion object {
        val SHORT_DEADLINE = mapOf("X-Deadline-Millis" to "1000")
    }
}
