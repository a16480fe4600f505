package sycamoremast.standins

import java.io.IOException
import java.security.MessageDigest
import java.util.concurrent.CompletableFuture
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

class BackendServerTest {
    private val server = BackendServer.start(BackendSettings(slots = 2))
    private val http = Http(server.port)

    @AfterEach
    fun close() = server.close()

    @Test
    fun `an answer echoes the request id and its digest fits its content`() {
        val answer = http.get("/x", mapOf("X-Request-Id" to "r1", "X-Body-Bytes" to "100"))
        val (digest, content) = answer.body().split('\n', limit = 2)
        expectThat(content).isEqualTo("r1\n" + "x".repeat(100))
        expectThat(digest).isEqualTo(sha256(content))
        expectThat(answer.headers().firstValue("X-Request-Id").get()).isEqualTo("r1")
    }

    @Test
    fun `a request beyond the slots is refused and not run`() {
        val running = List(2) { CompletableFuture.supplyAsync { http.get("/run/1500") } }
        eventually("both run") { server.executions().size == 2 }
        val refused = http.get("/x")
        expectThat(refused.statusCode()).isEqualTo(503)
        expectThat(refused.headers().firstValue("X-Not-Run").get()).isEqualTo("slots")
        expectThat(running.map { it.get().statusCode() }).isEqualTo(listOf(200, 200))
        expectThat(server.executions()).hasSize(2)
        expectThat(server.usage().maxSlots).isEqualTo(2)
    }

    @Test
    fun `a reset before runs nothing and a reset after runs it`() {
        server.setFaults(BackendFaults(resetBefore = true))
        expectThrows<IOException> { http.post("/x") }
        expectThat(server.executions()).isEmpty()
        server.setFaults(BackendFaults(resetAfter = true))
        expectThrows<IOException> { http.post("/x", headers = mapOf("Idempotency-Key" to "k")) }
        expectThat(server.executions()).single().get { idempotencyKey }.isEqualTo("k")
    }

    @Test
    fun `a truncated answer ends before its announced length`() {
        http.post("/faults", """{"truncate":true}""")
        expectThrows<IOException> { http.get("/x", mapOf("X-Body-Bytes" to "5000")) }
        expectThat(server.executions()).hasSize(1)
    }

    @Test
    fun `a leaving server refuses and says so`() {
        http.post("/faults", """{"leaving":true}""")
        val refused = http.get("/x")
        expectThat(refused.headers().firstValue("X-Draining").get()).isEqualTo("true")
        expectThat(refused.headers().firstValue("X-Not-Run").get()).isEqualTo("leaving")
        expectThat(server.executions()).isEmpty()
    }

    private fun sha256(text: String) = MessageDigest.getInstance("SHA-256")
        .digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
}
