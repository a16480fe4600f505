package sycamoremast.standins

import java.io.IOException
import java.util.Base64
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class KeyValueServerTest {
    private val server = KeyValueServer.start()
    private val http = Http(server.port)

    @AfterEach
    fun close() = server.close()

    @Test
    fun `applies a compare-and-swap on the mod revision only once`() {
        expectThat(swap("k", 0, "a")).contains("\"succeeded\":true")
        expectThat(swap("k", 0, "b")).contains("\"succeeded\":false")
        expectThat(range("k")).contains(base64("a"))
    }

    @Test
    fun `counts calls by kind`() {
        swap("k", 0, "a")
        range("k")
        range("k")
        expectThat(server.calls()).isEqualTo(mapOf("range" to 2L, "txn" to 1L))
    }

    @Test
    fun `applies a write whose response is dropped but no write while down`() {
        server.setFaults(KeyValueFaults(dropAnswers = 1))
        expectThrows<IOException> { swap("k", 0, "a") }
        expectThat(range("k")).contains(base64("a"))
        http.post("/faults", """{"down":true}""")
        expectThrows<IOException> { swap("l", 0, "a") }
        http.post("/faults", "{}")
        expectThat(range("l")).contains("\"kvs\":[]")
    }

    @Test
    fun `deletes the keys of expired leases`() {
        val granted = http.post("/v3/lease/grant", """{"TTL":"60"}""").body()
        expectThat(granted).contains("\"ID\":\"1\"")
        val put = """{"key":"${base64("k")}","value":"${base64("v")}","lease":"1"}"""
        http.post("/v3/kv/put", put)
        expectThat(range("k")).contains(base64("v"))
        server.setFaults(KeyValueFaults(expireLeases = true))
        expectThat(range("k")).contains("\"kvs\":[]")
        val kept = http.post("/v3/lease/keepalive", """{"ID":"1"}""").body()
        expectThat(kept).contains("\"TTL\":\"0\"")
    }

    private fun swap(key: String, revision: Long, value: String): String {
        val k = base64(key)
        val compare = """{"key":"$k","target":"MOD","mod_revision":"$revision"}"""
        val put = """{"request_put":{"key":"$k","value":"${base64(value)}"}}"""
        return http.post("/v3/kv/txn", """{"compare":[$compare],"success":[$put]}""").body()
    }

    private fun range(key: String) =
        http.post("/v3/kv/range", """{"key":"${base64(key)}"}""").body()

    private fun base64(text: String) = Base64.getEncoder().encodeToString(text.encodeToByteArray())
}
