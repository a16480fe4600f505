/**
 * A JSON client over HTTP that reports whether any byte of a request may have left this host.
 *
 * OkHttp's retries and redirects are disabled, so that a request is sent at most once.
 *
 * Connections may go silent without a reset, all of a peer's at one moment. A call that gets no
 * answer is the only sign of it, so the idle connections to that peer are then discarded: the next
 * call opens a new one. Connections in use are left alone; each ends with its own call.
 */
package sycamoremast.daemon.platform

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.util.concurrent.TimeUnit.MILLISECONDS
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.EventListener
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import sycamoremast.daemon.http.withoutFollowUps

/** Timeouts for a whole call to the platform and for establishing its connection. */
data class PlatformTimeouts(val call: Duration, val connect: Duration)

/** The result of an HTTP call. */
sealed interface CallResult {
    /** The peer responded with [status] and the complete [body]. */
    data class Answered(val status: Int, val body: String) : CallResult

    /** No byte of the request left this host. */
    data class NotSent(val reason: String) : CallResult

    /** No complete response arrived; the request may have reached the peer. */
    data class AnswerLost(val reason: String) : CallResult
}

/** A [method] call on [path]; if [timeout] is null, the client's call timeout applies. */
data class JsonCall(
    val method: String,
    val path: String,
    val body: String? = null,
    val headers: Map<String, String> = emptyMap(),
    val timeout: Duration? = null
)

/**
 * Calls the peer at [address], an IP address with a port and an optional path.
 *
 * Uses the settings and threads of [http], and connections of its own, which are kept open for
 * [keepAlive] while idle.
 */
class JsonClient(address: String, http: OkHttpClient, keepAlive: Duration = DEFAULT_KEEP_ALIVE) {
    private val base = "http://$address"
    private val connections =
        ConnectionPool(MAX_IDLE_CONNECTIONS, keepAlive.inWholeMilliseconds, MILLISECONDS)
    private val http = http.newBuilder().connectionPool(connections).build()

    fun get(path: String): CallResult = execute(JsonCall("GET", path))

    fun post(path: String, body: String): CallResult = execute(JsonCall("POST", path, body))

    /** Executes [call] and returns its result. */
    fun execute(call: JsonCall): CallResult {
        val tracker = SendTracker()
        val pending = newCall(call, tracker).getOrElse { return it }
        return try {
            pending.execute().use { read(it, tracker) }
        } catch (e: IOException) {
            failure(e, tracker)
        }
    }

    /**
     * Starts [call] and passes its result to [done] on another thread, or at once if no request can
     * carry it.
     */
    fun enqueue(call: JsonCall, done: (CallResult) -> Unit) {
        val tracker = SendTracker()
        val pending = newCall(call, tracker).getOrElse { return done(it) }
        pending.enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) = done(failure(e, tracker))

                override fun onResponse(call: Call, response: Response) = done(
                    try {
                        response.use { read(it, tracker) }
                    } catch (e: IOException) {
                        failure(e, tracker)
                    }
                )
            }
        )
    }

    /** Returns the HTTP call for [call], or its result if the address or a header is none of HTTP. */
    private fun newCall(call: JsonCall, tracker: SendTracker): Either<CallResult.NotSent, Call> =
        try {
            val pending = http.newCall(request(call, tracker))
            call.timeout?.let { pending.timeout().timeout(it.inWholeMilliseconds, MILLISECONDS) }
            pending.right()
        } catch (e: IllegalArgumentException) {
            CallResult.NotSent("no request can carry it: ${e.message}").left()
        }

    private fun request(call: JsonCall, tracker: SendTracker): Request {
        val body = call.body?.toRequestBody(CONTENT_TYPE_JSON)
        val builder = Request.Builder().url(base + call.path).method(call.method, body)
        call.headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.tag(SendTracker::class.java, tracker).build()
    }

    private fun failure(e: IOException, tracker: SendTracker): CallResult {
        val reason = e.message ?: e.javaClass.simpleName
        if (!tracker.hasStarted) return CallResult.NotSent(reason)
        val idleCount = connections.idleConnectionCount()
        connections.evictAll()
        val received = tracker.receivedBytes?.let { "; bytes of the answer: $it" }.orEmpty()
        return CallResult.AnswerLost("$reason$received; idle connections discarded: $idleCount")
    }

    /** Returns a call for a streamed response, limited by [idleTimeout] but not in total time. */
    fun newStreamingCall(path: String, body: String, idleTimeout: Duration): Call {
        val client = http.newBuilder()
            .callTimeout(0, MILLISECONDS)
            .readTimeout(idleTimeout.inWholeMilliseconds, MILLISECONDS)
            .build()
        val request = Request.Builder().url(base + path)
            .post(body.toRequestBody(CONTENT_TYPE_JSON))
            .tag(SendTracker::class.java, SendTracker())
            .build()
        return client.newCall(request)
    }

    /** Reads the whole body; [tracker] then knows how much of it came, also if its end didn't. */
    private fun read(response: Response, tracker: SendTracker): CallResult.Answered {
        val source = response.body.source()
        try {
            source.request(Long.MAX_VALUE)
        } finally {
            tracker.receivedBytes = source.buffer.size
        }
        return CallResult.Answered(response.code, response.body.string())
    }

    companion object {
        private val CONTENT_TYPE_JSON = "application/json".toMediaType()

        /** As many as one host has calls to one peer at the same time. */
        private const val MAX_IDLE_CONNECTIONS = 64
        private val DEFAULT_KEEP_ALIVE = 60.seconds

        /** Returns whether [address] has a host and a port that HTTP allows, and no query. */
        fun isAddress(address: String): Boolean {
            val url = "http://$address/".toHttpUrlOrNull() ?: return false
            val hasPort = address.substringBefore('/').endsWith(":${url.port}")
            return hasPort && url.query == null && url.fragment == null
        }

        /** Returns whether a request can carry [value] in a header. */
        fun isHeaderValue(value: String): Boolean = value.all { it == '\t' || it in ' '..'~' }
    }
}

/** Records whether a call has started to send its request, and how much of an answer has come. */
class SendTracker : EventListener() {
    @Volatile
    var hasStarted = false
        private set

    /** The size of the body, or of the part of it that came in time; null before its first read. */
    @Volatile
    var receivedBytes: Long? = null

    override fun requestHeadersStart(call: Call) {
        hasStarted = true
    }
}

/** The JSON format of the platform's services; unknown fields are ignored. */
internal val platformJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/**
 * Returns a client for the platform's services; all adapters may share it.
 *
 * The services have plain HTTP only. A client that allows TLS loads all trusted certificates at the
 * start of the process.
 */
fun platformHttpClient(timeouts: PlatformTimeouts): OkHttpClient = OkHttpClient.Builder()
    .connectionSpecs(listOf(ConnectionSpec.CLEARTEXT))
    .socketFactory(NoDelaySocketFactory)
    .withoutFollowUps()
    .connectTimeout(timeouts.connect.inWholeMilliseconds, MILLISECONDS)
    .callTimeout(timeouts.call.inWholeMilliseconds, MILLISECONDS)
    .readTimeout(timeouts.call.inWholeMilliseconds, MILLISECONDS)
    .eventListenerFactory { it.request().tag(SendTracker::class.java) ?: EventListener.NONE }
    .build()
