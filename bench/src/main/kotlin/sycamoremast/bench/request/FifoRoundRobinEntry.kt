/**
 * The baseline: one queue in order of arrival, and backend servers in turn.
 *
 * It keeps to the slots of each backend server and to the callers' deadlines, knows no run times
 * and refuses nothing beforehand.
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

internal class FifoRoundRobinEntry(private val fleet: BackendFleet) : EntrySystem {
    override val name = "fifo-round-robin"
    override val pathPrefix = "/services/$SERVICE"

    private val slots = Semaphore(fleet.slots, true)
    private val free = IntArray(fleet.servers.size) { fleet.slots / fleet.servers.size }
    private var turn = 0
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .connectionPool(ConnectionPool(fleet.slots, 1, java.util.concurrent.TimeUnit.MINUTES))
        .callTimeout(MAX_CALL_MILLIS, MILLISECONDS)
        .readTimeout(MAX_CALL_MILLIS, MILLISECONDS)
        .build()
    private val server: Http4kServer =
        RequestServer("127.0.0.1", 0, WORKER_THREADS).toServer(::handle).start()

    override fun ports() = listOf(server.port())

    override fun close() {
        server.stop()
        client.connectionPool.evictAll()
    }

    private fun handle(request: Request): Response {
        val deadline = request.header("X-Deadline-Millis")?.toLong() ?: MAX_CALL_MILLIS
        if (!slots.tryAcquire(deadline, MILLISECONDS)) return notRun("the deadline has passed")
        val index = takeTurn()
        return try {
            forward(request, index)
        } catch (e: IOException) {
            Response(
                Status.GATEWAY_TIMEOUT
            ).header("X-Outcome", "unknown").body(e.message.orEmpty())
        } finally {
            giveBack(index)
            slots.release()
        }
    }

    private fun forward(request: Request, index: Int): Response {
        val path = request.uri.path.removePrefix(pathPrefix)
        val call = OkRequest.Builder()
            .url("http://127.0.0.1:${fleet.servers[index].port}$path")
            .post(request.body.stream.readBytes().toRequestBody())
        PASSED_ON.forEach { name -> request.header(name)?.let { call.header(name, it) } }
        return client.newCall(call.build()).execute().use(::answer)
    }

    private fun answer(answer: OkResponse): Response {
        val response = Response(Status.fromCode(answer.code) ?: Status.BAD_GATEWAY)
            .body(answer.body.string())
        return answer.header("X-Not-Run")?.let { response.header("X-Not-Run", it) } ?: response
    }

    private fun notRun(reason: String) =
        Response(Status.SERVICE_UNAVAILABLE).header("X-Outcome", "not-run").body(reason)

    @Synchronized
    private fun takeTurn(): Int {
        do turn = (turn + 1) % free.size while (free[turn] == 0)
        free[turn]--
        return turn
    }

    @Synchronized
    private fun giveBack(index: Int) {
        free[index]++
    }

    companion object {
        private const val WORKER_THREADS = 3_000
        private const val MAX_CALL_MILLIS = 60_000L
        private val PASSED_ON = listOf("X-Request-Id", "X-Work-Millis")
    }
}
