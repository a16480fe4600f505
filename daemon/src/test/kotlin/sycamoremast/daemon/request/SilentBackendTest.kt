/** Tests of backend servers whose open connections go silent without a reset, while new ones work. */
package sycamoremast.daemon.request

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

class SilentBackendTest {
    private val allArrived = CountDownLatch(CONNECTIONS)
    private val old: MutableSet<RawConnection> = ConcurrentHashMap.newKeySet()
    private val isSilent = AtomicBoolean()

    /** Answers the first requests together, and once silent none on the connections of these. */
    private fun backend(breakFirst: Boolean) = RawBackend { request ->
        when {
            !isSilent.get() -> {
                old += this
                allArrived.countDown()
                allArrived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                answer(request, "before")
            }

            this !in old -> answer(request, "after")

            breakFirst -> reset()

            else -> true
        }
    }

    private fun expectOneLost(breakFirst: Boolean) = backend(breakFirst).use { backend ->
        PathHarness(backend).ready().use { path ->
            val callers = List(CONNECTIONS) { thread { path.send("/invoices", "POST", "x") } }
            callers.forEach { it.join() }
            expectThat(old).hasSize(CONNECTIONS)
            isSilent.set(true)
            expectThat(path.post().outcome).isNotEqualTo("answered")
            repeat(CONNECTIONS) {
                val answer = path.post()
                expectThat(answer.outcome).isEqualTo("answered")
                expectThat(answer.text()).isEqualTo("after")
            }
        }
    }

    private fun PathHarness.post() =
        send("/invoices", "POST", "x", mapOf("X-Deadline-Millis" to "$DEADLINE_MILLIS"))

    // Guards against a request for each idle connection that ends without an answer.
    @Test
    fun `loses one request only as all connections to a backend server go silent`() =
        expectOneLost(breakFirst = false)

    // Guards against requests on the other connections of a server that has broken one.
    @Test
    fun `loses one request only as all connections to a backend server break`() =
        expectOneLost(breakFirst = true)

    private companion object {
        const val CONNECTIONS = 4
        const val TIMEOUT_SECONDS = 20L
        const val DEADLINE_MILLIS = 2_000L
    }
}
