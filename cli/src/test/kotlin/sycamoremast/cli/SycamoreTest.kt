package sycamoremast.cli

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.terminal.Terminal
import com.github.ajalt.mordant.terminal.TerminalRecorder
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.io.path.writeText
import kotlinx.serialization.serializer
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.http4k.server.SunHttp
import org.http4k.server.asServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import sycamoremast.configuration.operator.AuditView
import sycamoremast.configuration.operator.ConfirmationView
import sycamoremast.configuration.operator.DocumentView
import sycamoremast.configuration.operator.DrainView
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.configuration.operator.InvalidView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.MemberView
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.configuration.operator.RevisionView
import sycamoremast.configuration.operator.ShardView
import sycamoremast.configuration.operator.StatusView
import sycamoremast.configuration.operator.SubmitView

class SycamoreTest {
    private val responses = mutableMapOf<String, (Request) -> Response>()
    private val requests = CopyOnWriteArrayList<Request>()
    private lateinit var server: Http4kServer

    @TempDir
    lateinit var directory: Path

    @BeforeEach
    fun start() {
        server = { request: Request ->
            requests += request.body(request.bodyString())
            val response = responses["${request.method} ${request.uri.path}"]
            response?.invoke(request) ?: Response(Status.NOT_IMPLEMENTED)
        }.asServer(SunHttp(0)).start()
    }

    @AfterEach
    fun stop() {
        server.stop()
    }

    private inline fun <reified T> respond(call: String, value: T, status: Status = Status.OK) {
        responses[call] = { Response(status).body(JSON.encodeToString(serializer<T>(), value)) }
    }

    private data class Run(val code: Int, val out: List<String>, val err: String)

    private fun run(vararg args: String, daemon: String = "127.0.0.1:${server.port()}"): Run {
        val recorder = TerminalRecorder(ansiLevel = AnsiLevel.NONE, width = 79)
        val code =
            runSycamore(listOf("--daemon", daemon) + args, Terminal(terminalInterface = recorder))
        return Run(code, recorder.stdout().trimEnd().lines(), recorder.stderr().trimEnd())
    }

    private fun file(text: String = TEXT): String =
        "${directory.resolve("bktib.ini").apply { writeText(text) }}"

    private fun document(revision: Long, operator: String = "liga", text: String = TEXT) =
        DocumentView("bktib", revision, text, operator, 1_772_700_000_000)

    private fun closedAddress() = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

    @Test
    fun `submit starts from the accepted revision`() {
        respond("GET $DOCUMENT", document(4))
        respond("PUT $DOCUMENT", SubmitView("bktib", 5))
        expectThat(run("--operator", "janis", "submit", file())) {
            get { code }.isEqualTo(0)
            get { out }.containsExactly("bktib: accepted as revision 5")
        }
        expectThat(requests.last()) {
            get { query("from") }.isEqualTo("4")
            get { header("X-Operator") }.isEqualTo("janis")
            get { bodyString() }.isEqualTo(TEXT)
        }
    }

    @Test
    fun `a first submission starts from revision 0`() {
        respond("GET $DOCUMENT", ErrorView("read", "gauja-1", "no such team"), Status.NOT_FOUND)
        respond("PUT $DOCUMENT", SubmitView("bktib", 1))
        expectThat(run("submit", file()).code).isEqualTo(0)
        expectThat(requests.last().query("from")).isEqualTo("0")
    }

    @Test
    fun `submit names the other change when it loses a race`() {
        respond("PUT $DOCUMENT", document(7), Status.CONFLICT)
        expectThat(run("submit", "--from", "6", file())) {
            get { code }.isEqualTo(3)
            get { err }.isEqualTo(
                "bktib: liga changed it to revision 7 at 2026-03-05T08:40:00Z; nothing was changed"
            )
        }
        expectThat(requests.map { it.method }).containsExactly(Method.PUT)
    }

    @Test
    fun `submit lists all errors of an invalid file and sends nothing`() {
        val path = file("[team bktib]\nmilli-cpus = x\n[hosts]\n")
        expectThat(run("submit", path)) {
            get { code }.isEqualTo(2)
            get { err.lines().map { it.removePrefix("$path:").take(1) } }
                .containsExactly("1", "2", "3")
        }
        expectThat(requests).isEmpty()
    }

    @Test
    fun `submit lists errors found by the daemon`() {
        respond(
            "PUT $DOCUMENT",
            InvalidView(listOf("[job a] too large")),
            Status.UNPROCESSABLE_ENTITY
        )
        expectThat(run("submit", "--from", "1", file())) {
            get { code }.isEqualTo(2)
            get { err }.isEqualTo("[job a] too large")
        }
    }

    @Test
    fun `submit lists the unconfirmed hosts after a wait`() {
        respond("PUT $DOCUMENT", SubmitView("bktib", 2))
        respond(
            "GET /v1/teams/bktib/confirmations",
            ConfirmationView("bktib", 2, listOf("gauja-1"), listOf("cesis-1", "cesis-2"))
        )
        expectThat(run("submit", "--from", "1", "--wait", "--timeout", "250ms", file())) {
            get { code }.isEqualTo(5)
            get { out }.containsExactly("bktib: accepted as revision 2; in force on gauja-1")
            get { err }.isEqualTo("bktib: not confirmed on cesis-1, cesis-2")
        }
        expectThat(requests.last().uri.query).isEqualTo("revision=2&timeoutMillis=250")
    }

    @Test
    fun `submit splits a wait that is longer than a daemon's maximum`() {
        respond("PUT $DOCUMENT", SubmitView("bktib", 2))
        respond(
            "GET /v1/teams/bktib/confirmations",
            ConfirmationView("bktib", 2, emptyList(), listOf("cesis-1"))
        )
        run("submit", "--from", "1", "--wait", "--timeout", "61s", file())
        expectThat(requests.drop(1).map { it.uri.query.substringAfter("timeoutMillis=") })
            .containsExactly("60000", "1000")
    }

    @Test
    fun `submit resolves a lost response by reading the configuration back`() {
        closeAfterRequest().use { socket ->
            respond("GET $DOCUMENT", document(5, operator = "janis"))
            val args = arrayOf("--operator", "janis", "--daemon", "127.0.0.1:${server.port()}")
            expectThat(run(*args, "submit", "--from", "4", file(), daemon = socket.address())) {
                get { code }.isEqualTo(0)
                get { out }.containsExactly("bktib: accepted as revision 5")
            }
        }
    }

    @Test
    fun `submit reports an unknown outcome when it can't resolve a lost response`() {
        closeAfterRequest().use { socket ->
            respond("GET $DOCUMENT", document(4))
            val second = "127.0.0.1:${server.port()}"
            expectThat(
                run("--daemon", second, "submit", "--from", "4", file(), daemon = socket.address())
            ) {
                get { code }.isEqualTo(6)
                get { err }.startsWith("${socket.address()}: submit: outcome unknown: ")
            }
            expectThat(requests.none { it.method == Method.PUT }).isEqualTo(true)
        }
    }

    @Test
    fun `an unreachable daemon is named with the failed step and the next one is tried`() {
        respond("GET /v1/jobs", listOf<JobView>())
        val closed = closedAddress()
        expectThat(run("jobs", daemon = closed)) {
            get { code }.isEqualTo(4)
            get { err }.startsWith("$closed: connect failed: ")
        }
        val second = "127.0.0.1:${server.port()}"
        expectThat(run("--daemon", second, "jobs", daemon = closed).code).isEqualTo(0)
    }

    @Test
    fun `an error response is reported with its step and peer`() {
        val error = ErrorView("compare-and-swap", "127.0.0.1:2379", "service down", 900)
        respond("POST /v1/jobs/bktib/survey/cancel", error, Status.SERVICE_UNAVAILABLE)
        expectThat(run("job", "cancel", "bktib", "survey")) {
            get { code }.isEqualTo(1)
            get { err }.isEqualTo(
                "127.0.0.1:2379: compare-and-swap failed: service down; come back in 900 ms"
            )
        }
        val lost = error.copy(outcomeUnknown = true)
        respond("POST /v1/jobs/bktib/survey/cancel", lost, Status.SERVICE_UNAVAILABLE)
        expectThat(run("job", "cancel", "bktib", "survey").code).isEqualTo(6)
    }

    @Test
    fun `an unreadable response fails a read and leaves the outcome of a change unknown`() {
        responses["GET /v1/status"] = { Response(Status.OK).body("<html>") }
        expectThat(run("status")) {
            get { code }.isEqualTo(1)
            get { err }.contains("status failed: the answer 200 could not be read")
        }
        responses["POST /v1/drain"] = { Response(Status.ACCEPTED).body("") }
        expectThat(run("drain").code).isEqualTo(6)
    }

    @Test
    fun `diff shows changed keys`() {
        respond("GET $DOCUMENT", document(4, text = "[team bktib]\nmilli-cpus = 2\nx = 1\n"))
        expectThat(run("diff", file())) {
            get { code }.isEqualTo(0)
            get { out }.containsExactly(
                "bktib: changes to revision 4",
                "~ [team bktib] milli-cpus = 2 -> 1000",
                "- [team bktib] x = 1",
                "+ [team bktib] memory-mib = 1000"
            )
        }
    }

    private fun JobView.unconfirmed() = copy(
        state = "unconfirmed",
        tasksRunning = null,
        reason = "no answer",
        viewAgeMillis = 20
    )

    @Test
    fun `jobs are written as a table or as JSON`() {
        val running = JobView("bktib", "survey", "sigulda", "running", 3, 1, 2)
        val jobs = listOf(running, running.unconfirmed())
        respond("GET /v1/jobs", jobs)
        expectThat(run("jobs", "--team", "bktib").out).containsExactly(
            "TEAM   JOB     ZONE     STATE        FINISHED  RUNNING  REASON",
            "bktib  survey  sigulda  running      1/3       2        -",
            "bktib  survey  sigulda  unconfirmed  1/3       ?        no answer; last read 20 ms ago"
        )
        val json = run("--json", "jobs").out.joinToString("\n")
        expectThat(JSON.decodeFromString<List<JobView>>(json)).isEqualTo(jobs)
        val failure = run("--json", "jobs", daemon = closedAddress())
        expectThat(JSON.decodeFromString<FailureView>(failure.err)) {
            get { exitCode }.isEqualTo(failure.code)
            get { kind }.isEqualTo("unreachable")
        }
    }

    @Test
    fun `status, problems, audit and drain are written as text`() {
        respond(
            "GET /v1/status",
            StatusView(
                "gauja-1",
                "gauja",
                3,
                ready = false,
                notReadyBecause = listOf("no configuration"),
                members = listOf(MemberView("cesis-1", "cesis", 2, "suspect", "127.0.0.1:9")),
                documents = listOf(RevisionView("bktib", 8)),
                shards = listOf(ShardView("gauja/0", "gauja-1", 5, 11, 4, 1))
            )
        )
        respond("GET /v1/problems", listOf(ProblemView("1", "late", "bktib/a", "7 s", "g", 0)))
        respond("GET /v1/audit", listOf(AuditView(0, "liga", "submit", "bktib", 3, 4, "gauja-1")))
        respond("POST /v1/drain", DrainView("gauja-1", 2), Status.ACCEPTED)
        val status = run("status").out
        expectThat(status.first()).isEqualTo("gauja-1 in gauja: not ready: no configuration")
        expectThat(status).contains("cesis-1  cesis  2            suspect  127.0.0.1:9")
        expectThat(status).contains("gauja/0  gauja-1  5      11       4        1")
        expectThat(run("problems").out.last())
            .isEqualTo("late  bktib/a  1970-01-01T00:00:00Z  -        g   7 s")
        expectThat(run("audit").out.last())
            .isEqualTo("1970-01-01T00:00:00Z  liga      submit  bktib    3     4   gauja-1")
        expectThat(run("drain").out).containsExactly("gauja-1: draining, 2 requests in progress")
    }

    @Test
    fun `wrong usage exits with code 2`() {
        expectThat(run("submit", "no-such-file").code).isEqualTo(2)
        expectThat(run("jobs", daemon = "localhost:80").code).isEqualTo(2)
        expectThat(run("job", "cancel", "bktib", "../x").code).isEqualTo(2)
        expectThat(run("--daemon", "127.0.0.1:1", "drain").code).isEqualTo(2)
        expectThat(run("--help").code).isEqualTo(0)
    }

    @Test
    fun `completion prints a script`() {
        expectThat(run("completion", "bash").out.joinToString("\n")).contains("submit")
    }

    private fun ServerSocket.address() = "127.0.0.1:$localPort"

    /** Accepts connections and closes each after its request has arrived. */
    private fun closeAfterRequest(): ServerSocket {
        val socket = ServerSocket(0)
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                runCatching {
                    socket.accept().use { it.getInputStream().read(ByteArray(BUFFER_BYTES)) }
                }
            }
        }
        return socket
    }

    private companion object {
        const val DOCUMENT = "/v1/teams/bktib/configuration"
        const val TEXT = "[team bktib]\nmilli-cpus = 1000\nmemory-mib = 1000\n"
        const val BUFFER_BYTES = 65_536
    }
}
