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
    fun `echoes the request id and sends a matching digest of the content`() {
        val response = http.get("/x", mapOf("X-Request-Id" to "r1", "X-Body-Bytes" to "100"))
        val (digest, content) = response.body().split('\n', limit = 2)
        expectThat(content).isEqualTo("r1\n" + "x".repeat(100))
        expectThat(digest).isEqualTo(sha256(content))
        expectThat(response.headers().firstValue("X-Request-Id").get()).isEqualTo("r1")
    }

    @Test
    fun `refuses a request beyond the slots without running it`() {
        val running = List(2) { CompletableFuture.supplyAsync { http.get("/run/1500") } }
        eventually("both requests run") { server.executions().size == 2 }
        val refused = http.get("/x")
        expectThat(refused.statusCode()).isEqualTo(503)
        expectThat(refused.headers().firstValue("X-Not-Run").get()).isEqualTo("slots")
        expectThat(running.map { it.get().statusCode() }).isEqualTo(listOf(200, 200))
        expectThat(server.executions()).hasSize(2)
        expectThat(server.usage().maxSlots).isEqualTo(2)
    }

    @Test
    fun `runs a request that is reset afterwards but not one reset before`() {
        server.setFaults(BackendFaults(resetBefore = true))
        expectThrows<IOException> { http.post("/x") }
        expectThat(server.executions()).isEmpty()
        server.setFaults(BackendFaults(resetAfter = true))
        expectThrows<IOException> { http.post("/x", headers = mapOf("Idempotency-Key" to "k")) }
        expectThat(server.executions()).single().get { idempotencyKey }.isEqualTo("k")
    }

    @Test
    fun `truncates a response before its announced length`() {
        http.post("/faults", """{"truncate":true}""")
        expectThrows<IOException> { http.get("/x", mapOf("X-Body-Bytes" to "5000")) }
        expectThat(server.executions()).hasSize(1)
    }

    @Test
    fun `refuses requests with a drain notice while leaving`() {
        http.post("/faults", """{"leaving":true}""")
        val refused = http.get("/x")
        expectThat(refused.headers().firstValue("X-Draining").get()).isEqualTo("true")
        expectThat(refused.headers().firstValue("X-Not-Run").get()).isEqualTo("leaving")
        expectThat(server.executions()).isEmpty()
    }

    private fun sha256(text: String) = MessageDigest.getInstance("SHA-256")
        .digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
}
