package sycamoremast.integration

import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotBlank
import strikt.assertions.isNotNull

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class MalformedRequestsTest {
    /**
     * Sending [bytes] to the port [kind] must yield [status] and [text].
     *
     * A null [status] stands for a closed connection; [isCutOff] closes the sending side early.
     */
    private data class Case(
        val name: String,
        val kind: String,
        val bytes: String,
        val status: Int?,
        val text: String = "",
        val isCutOff: Boolean = false
    )

    private fun request(name: String, head: String, status: Int?, text: String = "") =
        Case(name, "requests", "$head\r\nHost: a\r\nConnection: close\r\n\r\n", status, text)

    private fun body(name: String, length: String, sent: String, status: Int?, text: String = "") =
        Case(name, "requests", "$INVOICE\r\nHost: a\r\n$length\r\n\r\n$sent", status, text, true)

    private fun operator(
        name: String,
        head: String,
        body: String,
        status: Int,
        text: String
    ): Case {
        val headers = "Host: a\r\nConnection: close\r\nContent-Length: ${body.length}"
        return Case(name, "operators", "$head HTTP/1.1\r\n$headers\r\n\r\n$body", status, text)
    }

    private val cases = listOf(
        request("bytes that are not HTTP", "\u0001\u0002\u0003", 400),
        request("no version", "GET /services", 400),
        request("unknown path", "GET /photos HTTP/1.1", 404, "/services/{service}/"),
        request("no service", "GET /services/ HTTP/1.1", 404, "/services/{service}/"),
        request("deadline that is no number", "$INVOICE\r\nX-Deadline-Millis: soon", 400, "soon"),
        request("negative deadline", "$INVOICE\r\nX-Deadline-Millis: -1", 400, "-1"),
        request("blank request id", "$INVOICE\r\nX-Request-Id: a b", 400, "X-Request-Id"),
        request(
            "oversized key",
            "$INVOICE\r\nIdempotency-Key: ${"k".repeat(200)}",
            400,
            "Idempotency-Key"
        ),
        request("oversized header", "$INVOICE\r\nX-Long: ${"x".repeat(2_000_000)}", 400),
        body("length that is no number", "Content-Length: many", "", 400),
        body("negative length", "Content-Length: -5", "", 400),
        body("oversized body", "Content-Length: 65537", "x", 413, "65536 bytes"),
        body("body cut off", "Content-Length: 100", "x", 400, "cut short"),
        body("chunk size that is no number", "Transfer-Encoding: chunked", "zz\r\n", null),
        body("chunk cut off", "Transfer-Encoding: chunked", "5\r\nab", null),
        operator("submission without a revision", "PUT $CONFIGURATION", "", 400, "'from'"),
        operator("revision that is no number", "PUT $CONFIGURATION?from=x", "", 400, "'from'"),
        operator(
            "oversized configuration",
            "PUT $CONFIGURATION?from=0",
            "x".repeat(950_000),
            400,
            "900000 bytes"
        ),
        operator("binary configuration", "PUT $CONFIGURATION?from=0", "\u0000", 422, "control"),
        operator(
            "another team's configuration",
            "PUT $CONFIGURATION?from=0",
            "[team regie]\nmilli-cpus = 1\nmemory-mib = 1\n",
            422,
            "regie"
        ),
        operator("unknown job", "POST /v1/jobs/bktib/none/cancel", "", 404, "none"),
        operator("unknown team", "GET /v1/teams/none/configuration", "", 404, "none"),
        Case(
            "configuration cut off",
            "operators",
            "PUT $CONFIGURATION?from=0 HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n[team",
            400,
            "cut short",
            isCutOff = true
        ),
        Case("peer that speaks HTTP", "peers", "GET / HTTP/1.1\r\n\r\n", null),
        Case("peer with an oversized frame", "peers", "\u007f\u007f\u007f\u007fxxxx", null),
        Case("peer that is cut off", "peers", "\u0000", null, isCutOff = true)
    )

    @TestFactory
    fun `rejects each malformed request with a clear error`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val reply = exchange(case)
            expectThat(reply.statusOrNull()).describedAs(reply.take(200)).isEqualTo(case.status)
            if (case.text.isNotEmpty()) expectThat(reply).contains(case.text)
            expectUnharmed()
        }
    }

    @Test
    fun `logs the address of a malformed peer`() {
        exchange(cases.first { it.name == "peer that speaks HTTP" })
        val daemon = deployment.daemons.first()
        val line = eventually("the peer is in the log", deployment::logs) {
            daemon.process.output().find { "event=peer-dropped" in it || "malformed" in it }
        }
        expectThat(line).contains("peer=").isNotBlank()
    }

    /** Checks that the daemon is live and has kept the accepted configuration and job. */
    private fun expectUnharmed() {
        val daemon = deployment.daemons.first()
        expectThat(daemon.requests.get("/live").status).isEqualTo(200)
        expectThat(daemon.document("bktib").revision).isEqualTo(revision)
        expectThat(daemon.job("survey")).isNotNull()
        expectThat(call(daemon.requests, Request("unharmed"))).isEqualTo(Outcome.WHOLE)
    }

    private fun exchange(case: Case): String {
        val port = deployment.daemons.first().process.address(case.kind).substringAfter(':').toInt()
        return Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            try {
                socket.getOutputStream().write(case.bytes.toByteArray(Charsets.ISO_8859_1))
                if (case.isCutOff) socket.shutdownOutput()
                socket.getInputStream().readBytes().toString(Charsets.ISO_8859_1)
            } catch (_: IOException) {
                ""
            }
        }
    }

    private fun String.statusOrNull(): Int? = STATUS_LINE.find(this)?.groupValues?.get(1)?.toInt()

    companion object {
        private const val READ_TIMEOUT_MILLIS = 10_000
        private const val INVOICE = "POST /services/inspection-report/invoice/1 HTTP/1.1"
        private const val CONFIGURATION = "/v1/teams/bktib/configuration"
        private val STATUS_LINE = Regex("^HTTP/1\\.[01] (\\d{3})")
        private lateinit var deployment: Deployment
        private var revision = 0L

        @JvmStatic
        @BeforeAll
        fun start() {
            deployment = Deployment(Layout())
            revision = deployment.submit(bktib { survey("survey", tasks = 1) })
        }

        @JvmStatic
        @AfterAll
        fun stop() = deployment.close()
    }
}
