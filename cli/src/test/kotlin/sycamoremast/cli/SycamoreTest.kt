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
    private val answers = mutableMapOf<String, (Request) -> Response>()
    private val calls = CopyOnWriteArrayList<Request>()
    private lateinit var server: Http4kServer

    @TempDir
    lateinit var directory: Path

    @BeforeEach
    fun start() {
        server = { request: Request ->
            calls += request.body(request.bodyString())
            val answer = answers["${request.method} ${request.uri.path}"]
            answer?.invoke(request) ?: Response(Status.NOT_IMPLEMENTED)
        }.asServer(SunHttp(0)).start()
    }

    @AfterEach
    fun stop() {
        server.stop()
    }

    private inline fun <reified T> answer(call: String, value: T, status: Status = Status.OK) {
        answers[call] = { Response(status).body(JSON.encodeToString(serializer<T>(), value)) }
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

    private fun unreachable() = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

    @Test
    fun `submit starts from the accepted revision`() {
        answer("GET $DOCUMENT", document(4))
        answer("PUT $DOCUMENT", SubmitView("bktib", 5))
        expectThat(run("--operator", "janis", "submit", file())) {
            get { code }.isEqualTo(0)
            get { out }.containsExactly("bktib: accepted as revision 5")
        }
        expectThat(calls.last()) {
            get { query("from") }.isEqualTo("4")
            get { header("X-Operator") }.isEqualTo("janis")
            get { bodyString() }.isEqualTo(TEXT)
        }
    }

    @Test
    fun `a first submission starts from revision 0`() {
        answer("GET $DOCUMENT", ErrorView("read", "gauja-1", "no such team"), Status.NOT_FOUND)
        answer("PUT $DOCUMENT", SubmitView("bktib", 1))
        expectThat(run("submit", file()).code).isEqualTo(0)
        expectThat(calls.last().query("from")).isEqualTo("0")
    }

    @Test
    fun `a lost race names the other change`() {
        answer("PUT $DOCUMENT", document(7), Status.CONFLICT)
        expectThat(run("submit", "--from", "6", file())) {
            get { code }.isEqualTo(3)
            get { err }.isEqualTo(
                "bktib: liga changed it to revision 7 at 2026-03-05T08:40:00Z; nothing was changed"
            )
        }
        expectThat(calls.map { it.method }).containsExactly(Method.PUT)
    }

    @Test
    fun `an invalid file is not sent and all of its errors are listed`() {
        val path = file("[team bktib]\nmilli-cpus = x\n[hosts]\n")
        expectThat(run("submit", path)) {
            get { code }.isEqualTo(2)
            get { err.lines().map { it.removePrefix("$path:").take(1) } }
                .containsExactly("1", "2", "3")
        }
        expectThat(calls).isEmpty()
    }

    @Test
    fun `errors that only the daemon finds are listed`() {
        answer(
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
    fun `waiting lists the hosts that were not confirmed`() {
        answer("PUT $DOCUMENT", SubmitView("bktib", 2))
        answer(
            "GET /v1/teams/bktib/confirmations",
            ConfirmationView("bktib", 2, listOf("gauja-1"), listOf("cesis-1", "cesis-2"))
        )
        expectThat(run("submit", "--from", "1", "--wait", "--timeout", "250ms", file())) {
            get { code }.isEqualTo(5)
            get { out }.containsExactly("bktib: accepted as revision 2; in force on gauja-1")
            get { err }.isEqualTo("bktib: not confirmed on cesis-1, cesis-2")
        }
        expectThat(calls.last().uri.query).isEqualTo("revision=2&timeoutMillis=250")
    }

    @Test
    fun `a long wait asks again after the longest that a daemon waits`() {
        answer("PUT $DOCUMENT", SubmitView("bktib", 2))
        answer(
            "GET /v1/teams/bktib/confirmations",
            ConfirmationView("bktib", 2, emptyList(), listOf("cesis-1"))
        )
        run("submit", "--from", "1", "--wait", "--timeout", "61s", file())
        expectThat(calls.drop(1).map { it.uri.query.substringAfter("timeoutMillis=") })
            .containsExactly("60000", "1000")
    }

    @Test
    fun `a lost answer is resolved by reading back`() {
        hangUpAfterRequest().use { cut ->
            answer("GET $DOCUMENT", document(5, operator = "janis"))
            val args = arrayOf("--operator", "janis", "--daemon", "127.0.0.1:${server.port()}")
            expectThat(run(*args, "submit", "--from", "4", file(), daemon = cut.address())) {
                get { code }.isEqualTo(0)
                get { out }.containsExactly("bktib: accepted as revision 5")
            }
        }
    }

    @Test
    fun `a lost answer that can't be resolved is an unknown outcome`() {
        hangUpAfterRequest().use { cut ->
            answer("GET $DOCUMENT", document(4))
            val second = "127.0.0.1:${server.port()}"
            expectThat(
                run("--daemon", second, "submit", "--from", "4", file(), daemon = cut.address())
            ) {
                get { code }.isEqualTo(6)
                get { err }.startsWith("${cut.address()}: submit: outcome unknown: ")
            }
            expectThat(calls.none { it.method == Method.PUT }).isEqualTo(true)
        }
    }

    @Test
    fun `an unreachable daemon is named with its step and the next one is asked`() {
        answer("GET /v1/jobs", listOf<JobView>())
        val dead = unreachable()
        expectThat(run("jobs", daemon = dead)) {
            get { code }.isEqualTo(4)
            get { err }.startsWith("$dead: connect failed: ")
        }
        val second = "127.0.0.1:${server.port()}"
        expectThat(run("--daemon", second, "jobs", daemon = dead).code).isEqualTo(0)
    }

    @Test
    fun `a refusal names its step and peer`() {
        val error = ErrorView("compare-and-swap", "127.0.0.1:2379", "service down", 900)
        answer("POST /v1/jobs/bktib/survey/cancel", error, Status.SERVICE_UNAVAILABLE)
        expectThat(run("job", "cancel", "bktib", "survey")) {
            get { code }.isEqualTo(1)
            get { err }.isEqualTo(
                "127.0.0.1:2379: compare-and-swap failed: service down; come back in 900 ms"
            )
        }
        val lost = error.copy(outcomeUnknown = true)
        answer("POST /v1/jobs/bktib/survey/cancel", lost, Status.SERVICE_UNAVAILABLE)
        expectThat(run("job", "cancel", "bktib", "survey").code).isEqualTo(6)
    }

    @Test
    fun `an answer that can't be read fails`() {
        answers["GET /v1/status"] = { Response(Status.OK).body("<html>") }
        expectThat(run("status")) {
            get { code }.isEqualTo(1)
            get { err }.contains("status failed: the answer 200 could not be read")
        }
        answers["POST /v1/drain"] = { Response(Status.ACCEPTED).body("") }
        expectThat(run("drain").code).isEqualTo(6)
    }

    @Test
    fun `diff shows changed keys`() {
        answer("GET $DOCUMENT", document(4, text = "[team bktib]\nmilli-cpus = 2\nx = 1\n"))
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
    fun `tables are for people and JSON for programs`() {
        val running = JobView("bktib", "survey", "sigulda", "running", 3, 1, 2)
        val jobs = listOf(running, running.unconfirmed())
        answer("GET /v1/jobs", jobs)
        expectThat(run("jobs", "--team", "bktib").out).containsExactly(
            "TEAM   JOB     ZONE     STATE        FINISHED  RUNNING  REASON",
            "bktib  survey  sigulda  running      1/3       2        -",
            "bktib  survey  sigulda  unconfirmed  1/3       ?        no answer; last read 20 ms ago"
        )
        val json = run("--json", "jobs").out.joinToString("\n")
        expectThat(JSON.decodeFromString<List<JobView>>(json)).isEqualTo(jobs)
        val failure = run("--json", "jobs", daemon = unreachable())
        expectThat(JSON.decodeFromString<FailureView>(failure.err)) {
            get { exitCode }.isEqualTo(failure.code)
            get { kind }.isEqualTo("unreachable")
        }
    }

    @Test
    fun `status, problems, audit and drain are written as tables`() {
        answer(
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
        answer("GET /v1/problems", listOf(ProblemView("1", "late", "bktib/a", "7 s", "g", 0)))
        answer("GET /v1/audit", listOf(AuditView(0, "liga", "submit", "bktib", 3, 4, "gauja-1")))
        answer("POST /v1/drain", DrainView("gauja-1", 2), Status.ACCEPTED)
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
    fun `wrong usage ends with 2`() {
        expectThat(run("submit", "no-such-file").code).isEqualTo(2)
        expectThat(run("jobs", daemon = "localhost:80").code).isEqualTo(2)
        expectThat(run("job", "cancel", "bktib", "../x").code).isEqualTo(2)
        expectThat(run("--daemon", "127.0.0.1:1", "drain").code).isEqualTo(2)
        expectThat(run("--help").code).isEqualTo(0)
    }

    @Test
    fun `completion scripts are written`() {
        expectThat(run("completion", "bash").out.joinToString("\n")).contains("submit")
    }

    private fun ServerSocket.address() = "127.0.0.1:$localPort"

    /** Accepts connections and closes each after its request has arrived. */
    private fun hangUpAfterRequest(): ServerSocket {
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
