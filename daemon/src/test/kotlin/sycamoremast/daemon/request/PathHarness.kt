/** A request path behind a real HTTP server, with an HTTP client to call it. */
package sycamoremast.daemon.request

import java.io.Closeable
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.concurrent.TimeUnit
import org.http4k.server.Http4kServer
import sycamoremast.coordination.request.LedgerTimes
import sycamoremast.coordination.request.ShareTimes

/** Settings with which a single host has all slots immediately. */
internal val TEST_SETTINGS = RequestPathSettings(
    hostListRefreshMillis = 20,
    drainGraceMillis = 100,
    slotTimes = LedgerTimes(ShareTimes(joinMillis = 0, settleMillis = 0))
)

internal class PathHarness(
    vararg backends: RawBackend,
    settings: RequestPathSettings = TEST_SETTINGS,
    minimumBodyRate: MinimumBodyRate = MinimumBodyRate(),
    hostList: FakeHostList = FakeHostList(backends.map { FakeHostList.backend(it.port) }),
    val ports: RequestPathPorts = testPorts(hostList)
) : Closeable {
    val path = requestPath(ports, settings)
    private val server: Http4kServer =
        RequestServer("127.0.0.1", 0, WORKER_THREADS, minimumBodyRate)
            .toServer(path.handler)
            .start()

    val port: Int get() = server.port()

    init {
        path.start()
    }

    /** Sends a request to [target], a path below that of the service, and returns the response. */
    fun send(
        target: String,
        method: String = "GET",
        body: String = "",
        headers: Map<String, String> = emptyMap()
    ): HttpResponse<ByteArray> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/services/$SERVICE$target"))
            .method(method, if (body.isEmpty()) BodyPublishers.noBody() else publish(body))
            .timeout(CALL_TIMEOUT)
        headers.forEach { (name, value) -> request.header(name, value) }
        return CLIENT.send(request.build(), BodyHandlers.ofByteArray())
    }

    /** Sends the raw [text], and returns all bytes received until the connection is closed. */
    fun exchange(text: String): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = CALL_TIMEOUT.toMillis().toInt()
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getInputStream().readAllBytes().decodeToString()
    }

    /** Waits until a backend server is known, which happens soon after the start. */
    fun ready(): PathHarness = apply {
        eventually { backendCount() > 0 }
    }

    fun backendCount() = (path as ForwardingRequestPath).backendCount(SERVICE)

    fun waitingCount() = (path as ForwardingRequestPath).waitingCount(SERVICE)

    private fun publish(body: String) = BodyPublishers.ofString(body)

    override fun close() {
        path.close()
        server.stop()
    }

    private companion object {
        const val WORKER_THREADS = 64
        val CALL_TIMEOUT: Duration = Duration.ofSeconds(30)
        val CLIENT: HttpClient = HttpClient.newBuilder().version(
            HttpClient.Version.HTTP_1_1
        ).build()
    }
}

internal val HttpResponse<*>.outcome: String? get() = header("X-Outcome")

internal fun HttpResponse<*>.header(name: String): String? = headers().firstValue(name).orElse(null)

internal fun HttpResponse<ByteArray>.text() = body().decodeToString()

/** Waits until [condition] holds; fails after 20 s. */
internal fun eventually(condition: () -> Boolean) {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
    while (!condition()) {
        check(System.nanoTime() < end) { "the condition did not hold within 20 s" }
        TimeUnit.MILLISECONDS.sleep(2)
    }
}
