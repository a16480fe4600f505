/**
 * The baseline: a proxy with one FIFO queue and round-robin selection of backend servers.
 *
 * It respects the slots of each backend server and the callers' deadlines. It has no run time
 * estimates and no admission control, so a request is rejected only once its deadline has passed.
 */
package sycamoremast.bench.request

import java.io.IOException
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit.MILLISECONDS
import okhttp3.ConnectionPool
import okhttp3.OkHttpClient
import okhttp3.Request as OkRequest
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response as OkResponse
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import sycamoremast.daemon.request.RequestServer

internal class FifoRoundRobinProxy(private val fleet: BackendFleet) : SystemUnderTest {
    override val name = "fifo-round-robin"
    override val pathPrefix = "/services/$SERVICE"

    private val slots = Semaphore(fleet.totalSlots, true)
    private val freeSlots = IntArray(fleet.servers.size) { fleet.totalSlots / fleet.servers.size }
    private var lastIndex = 0
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .connectionPool(ConnectionPool(fleet.totalSlots, 1, java.util.concurrent.TimeUnit.MINUTES))
        .callTimeout(CALL_TIMEOUT_MILLIS, MILLISECONDS)
        .readTimeout(CALL_TIMEOUT_MILLIS, MILLISECONDS)
        .build()
    private val server: Http4kServer =
        RequestServer("127.0.0.1", 0, WORKER_THREADS).toServer(::handle).start()

    override fun ports() = listOf(server.port())

    override fun close() {
        server.stop()
        client.connectionPool.evictAll()
    }

    private fun handle(request: Request): Response {
        val deadline = request.header("X-Deadline-Millis")?.toLong() ?: CALL_TIMEOUT_MILLIS
        if (!slots.tryAcquire(deadline, MILLISECONDS)) return notRun("the deadline has passed")
        val index = acquireNextServer()
        return try {
            forward(request, index)
        } catch (e: IOException) {
            Response(
                Status.GATEWAY_TIMEOUT
            ).header("X-Outcome", "unknown").body(e.message.orEmpty())
        } finally {
            releaseServer(index)
            slots.release()
        }
    }

    private fun forward(request: Request, index: Int): Response {
        val path = request.uri.path.removePrefix(pathPrefix)
        val call = OkRequest.Builder()
            .url("http://127.0.0.1:${fleet.servers[index].port}$path")
            .post(request.body.stream.readBytes().toRequestBody())
        FORWARDED_HEADERS.forEach { name -> request.header(name)?.let { call.header(name, it) } }
        return client.newCall(call.build()).execute().use(::toResponse)
    }

    private fun toResponse(upstream: OkResponse): Response {
        val response = Response(Status.fromCode(upstream.code) ?: Status.BAD_GATEWAY)
            .body(upstream.body.string())
        return upstream.header("X-Not-Run")?.let { response.header("X-Not-Run", it) } ?: response
    }

    private fun notRun(reason: String) =
        Response(Status.SERVICE_UNAVAILABLE).header("X-Outcome", "not-run").body(reason)

    @Synchronized
    private fun acquireNextServer(): Int {
        do lastIndex = (lastIndex + 1) % freeSlots.size while (freeSlots[lastIndex] == 0)
        freeSlots[lastIndex]--
        return lastIndex
    }

    @Synchronized
    private fun releaseServer(index: Int) {
        freeSlots[index]++
    }

    companion object {
        private const val WORKER_THREADS = 3_000
        private const val CALL_TIMEOUT_MILLIS = 60_000L
        private val FORWARDED_HEADERS = listOf("X-Request-Id", "X-Work-Millis")
    }
}
