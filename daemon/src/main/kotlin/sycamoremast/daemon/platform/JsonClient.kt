/**
 * JSON calls over HTTP that tell whether any byte of a request may have left this host.
 *
 * OkHttp's own repeats are off: neither a failed connection nor a redirect is ever tried again.
 */
package sycamoremast.daemon.platform

import java.io.IOException
import java.util.concurrent.TimeUnit.MILLISECONDS
import kotlin.time.Duration
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.EventListener
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import sycamoremast.daemon.http.withoutFollowUps

/** The time allowed for a call to the platform and for connecting to it. */
data class PlatformTimeouts(val call: Duration, val connect: Duration)

/** The result of an HTTP call. */
sealed interface CallResult {
    /** The peer answered with [status] and the whole [body]. */
    data class Answered(val status: Int, val body: String) : CallResult

    /** No byte of the request left this host. */
    data class NotSent(val reason: String) : CallResult

    /** The request may have reached the peer. */
    data class AnswerLost(val reason: String) : CallResult
}

/** A call of [method] on [path]; a null [timeout] leaves the client's own. */
data class JsonCall(
    val method: String,
    val path: String,
    val body: String? = null,
    val headers: Map<String, String> = emptyMap(),
    val timeout: Duration? = null
)

/** Calls one peer, by the base [address] of an IP number, a port and perhaps a path. */
class JsonClient(address: String, private val http: OkHttpClient) {
    private val base = "http://$address"

    fun get(path: String): CallResult = execute(Request.Builder().url(base + path))

    fun post(path: String, body: String): CallResult = execute(
        Request.Builder().url(base + path).post(body.toRequestBody(CONTENT_TYPE_JSON))
    )

    /** Returns the result of [call]. */
    fun execute(call: JsonCall): CallResult = execute(builder(call), call.timeout)

    /** Begins [call], and hands its result to [done] on another thread. */
    fun enqueue(call: JsonCall, done: (CallResult) -> Unit) {
        val mark = SendMark()
        val pending = newCall(builder(call), mark, call.timeout)
        pending.enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) = done(failure(e, mark))

                override fun onResponse(call: Call, response: Response) = done(
                    try {
                        response.use(::read)
                    } catch (e: IOException) {
                        failure(e, mark)
                    }
                )
            }
        )
    }

    private fun builder(call: JsonCall): Request.Builder {
        val body = call.body?.toRequestBody(CONTENT_TYPE_JSON)
        val builder = Request.Builder().url(base + call.path).method(call.method, body)
        call.headers.forEach { (name, value) -> builder.header(name, value) }
        return builder
    }

    private fun newCall(builder: Request.Builder, mark: SendMark, timeout: Duration?): Call {
        val call = http.newCall(builder.tag(SendMark::class.java, mark).build())
        if (timeout != null) call.timeout().timeout(timeout.inWholeMilliseconds, MILLISECONDS)
        return call
    }

    private fun failure(e: IOException, mark: SendMark): CallResult {
        val reason = e.message ?: e.javaClass.simpleName
        return if (mark.sent) CallResult.AnswerLost(reason) else CallResult.NotSent(reason)
    }

    /** Returns a call whose answer is streamed without a limit on its total time. */
    fun streamed(path: String, body: String, idleTimeout: Duration): Call {
        val client = http.newBuilder()
            .callTimeout(0, MILLISECONDS)
            .readTimeout(idleTimeout.inWholeMilliseconds, MILLISECONDS)
            .build()
        val request = Request.Builder().url(base + path)
            .post(body.toRequestBody(CONTENT_TYPE_JSON))
            .tag(SendMark::class.java, SendMark())
            .build()
        return client.newCall(request)
    }

    private fun execute(builder: Request.Builder, timeout: Duration? = null): CallResult {
        val mark = SendMark()
        return try {
            newCall(builder, mark, timeout).execute().use(::read)
        } catch (e: IOException) {
            failure(e, mark)
        }
    }

    private fun read(response: Response) =
        CallResult.Answered(response.code, response.body.string())

    companion object {
        private val CONTENT_TYPE_JSON = "application/json".toMediaType()
    }
}

/** Remembers whether a call has begun to send its request. */
class SendMark : EventListener() {
    @Volatile
    var sent = false
        private set

    override fun requestHeadersStart(call: Call) {
        sent = true
    }
}

/** The JSON of the platform's services: unknown fields are ignored. */
internal val platformJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/** Returns a client for the platform's services, which may be shared by all adapters. */
fun platformHttpClient(timeouts: PlatformTimeouts): OkHttpClient = OkHttpClient.Builder()
    .socketFactory(UndelayedSockets)
    .withoutFollowUps()
    .connectTimeout(timeouts.connect.inWholeMilliseconds, MILLISECONDS)
    .callTimeout(timeouts.call.inWholeMilliseconds, MILLISECONDS)
    .readTimeout(timeouts.call.inWholeMilliseconds, MILLISECONDS)
    .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_MILLIS, MILLISECONDS))
    .eventListenerFactory { it.request().tag(SendMark::class.java) ?: EventListener.NONE }
    .build()

private const val MAX_IDLE_CONNECTIONS = 64
private const val KEEP_ALIVE_MILLIS = 60_000L
