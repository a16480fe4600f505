/**
 * Sends requests to one backend server.
 *
 * The state of the request's lifecycle is updated at each step of an attempt, and so shows the step
 * at which an attempt failed: the state `CONNECTING` is left just before the first byte is written.
 * A response is accepted only if its end is marked, it is complete, no surplus bytes follow it, and
 * it does not have the id of another request.
 *
 * Connections may go silent without a reset, or break, all of a server's at one moment. A request
 * that was sent and got no answer is a sign of it, so the idle connections are then discarded.
 */
package sycamoremast.daemon.request

import java.io.IOException
import java.io.InterruptedIOException
import java.net.Proxy
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration
import okhttp3.ConnectionPool
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestFailure
import sycamoremast.coordination.request.RequestLifecycle
import sycamoremast.daemon.http.withoutFollowUps
import sycamoremast.daemon.request.AttemptResult.BackendResponse
import sycamoremast.daemon.request.AttemptResult.Failed
import sycamoremast.daemon.request.AttemptResult.Refused

/** An HTTP client for the backend server at [address], with a connection pool of its own. */
internal class BackendClient(private val address: String, maxConnections: Int) : AutoCloseable {
    private val pool = ConnectionPool(
        maxConnections,
        IDLE_CONNECTION_TIMEOUT.inWholeMilliseconds,
        TimeUnit.MILLISECONDS
    )
    private val client = SHARED_CLIENT.newBuilder().connectionPool(pool).build()

    /** Whether the server has echoed a request id in at least one response. */
    @Volatile
    private var echoesRequestIds = false

    /** The number of open connections, including idle ones. */
    val connectionCount: Int get() = pool.connectionCount()

    /**
     * Sends [request] with [body] and returns the result; fails once [remaining] has passed.
     *
     * [lifecycle] has to be in the state that follows [RequestEvent.DISPATCH].
     */
    fun send(
        request: CallerRequest,
        body: CallerBody,
        lifecycle: RequestLifecycle,
        remaining: Duration
    ): AttemptResult {
        val exchange = Exchange(lifecycle)
        return try {
            val http = toBackendRequest(address, request, body, remaining)
                .tag(Exchange::class.java, exchange)
                .build()
            val call = client.newCall(http)
            call.timeout().timeout(remaining.inWholeNanoseconds, TimeUnit.NANOSECONDS)
            receive(call.execute(), request, lifecycle, exchange)
        } catch (e: IOException) {
            failureOf(lifecycle, e)
        } catch (e: IllegalArgumentException) {
            failureOf(lifecycle, CallerException("not a valid request: ${e.message}"))
        }
    }

    /** Closes the idle connections, for example after the share of connections has shrunk. */
    fun closeIdle() = pool.evictAll()

    override fun close() = pool.evictAll()

    private fun receive(
        response: Response,
        request: CallerRequest,
        lifecycle: RequestLifecycle,
        exchange: Exchange
    ): AttemptResult {
        val draining = response.header(RequestHeaders.DRAINING).toBoolean()
        val reader = ResponseBodyReader(response, exchange)
        checkRequestId(response, request, reader, exchange.socket())
        if (response.code == SERVICE_UNAVAILABLE &&
            response.header(RequestHeaders.NOT_RUN) != null
        ) {
            reader.discard()
            val failure = RequestFailure(lifecycle.state, address, "the backend server refused")
            lifecycle.on(RequestEvent.REFUSE)
            val isBusy = response.header(RequestHeaders.NOT_RUN) in RequestHeaders.BUSY_REASONS
            return Refused(failure, retryAfterOf(response), isBusy, draining)
        }
        lifecycle.on(RequestEvent.ANSWER_BEGUN)
        return BackendResponse(
            response.code,
            response.headers.toList(),
            reader.read(),
            reader.isBodiless,
            draining
        )
    }

    /**
     * Checks that [response] does not belong to another request.
     *
     * An earlier response that is late or was sent twice may arrive on a reused connection just
     * after the check for unexpected bytes. If the server echoes request ids, such a response is
     * recognized by a missing id.
     *
     * @throws IOException if the id is that of another request, or if an expected id is missing
     */
    private fun checkRequestId(
        response: Response,
        request: CallerRequest,
        reader: ResponseBodyReader,
        socket: ByteCountingSocket
    ) {
        val echoedId = response.header(RequestHeaders.REQUEST_ID)
        if (echoedId == request.id) echoesRequestIds = true
        if (echoedId == request.id ||
            (echoedId == null && !isRequestIdExpected(response, socket))
        ) {
            return
        }
        reader.abort()
        throw IOException("the answer names another request: $echoedId")
    }

    private fun isRequestIdExpected(response: Response, socket: ByteCountingSocket) =
        echoesRequestIds && socket.isReused && response.header(RequestHeaders.NOT_RUN) == null

    private fun failureOf(lifecycle: RequestLifecycle, e: IOException): Failed {
        val kind = when {
            e is CallerException -> FailureKind.CALLER
            e is StaleConnectionException -> FailureKind.STALE_CONNECTION
            e is InterruptedIOException && e.message == CALL_TIMEOUT -> FailureKind.DEADLINE
            lifecycle.isCertainlyNotRun -> FailureKind.CONNECT
            else -> FailureKind.BROKEN
        }
        val reason = e.message ?: e.javaClass.simpleName
        if (kind == FailureKind.DEADLINE || kind == FailureKind.BROKEN) closeIdle()
        return Failed(RequestFailure(lifecycle.state, address, reason), kind)
    }

    private fun retryAfterOf(response: Response): Duration? {
        val millis = response.header(RequestHeaders.RETRY_AFTER_MILLIS)?.toLongOrNull()
        val seconds = response.header(RequestHeaders.RETRY_AFTER)?.toLongOrNull()
        return (millis?.milliseconds ?: seconds?.seconds)?.takeIf { !it.isNegative() }
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val CALL_TIMEOUT = "timeout"
        val IDLE_CONNECTION_TIMEOUT = 4.seconds
        val CONNECT_TIMEOUT = 1.seconds

        /** The configuration that all clients share: no retries, no redirects, no proxy. */
        val SHARED_CLIENT: OkHttpClient = OkHttpClient.Builder()
            .withoutFollowUps()
            .fastFallback(false)
            .proxy(Proxy.NO_PROXY)
            .socketFactory(ByteCountingSocketFactory)
            .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
            .readTimeout(Duration.ZERO.toJavaDuration())
            .writeTimeout(Duration.ZERO.toJavaDuration())
            .eventListenerFactory(ExchangeListener.FACTORY)
            .addNetworkInterceptor(StaleConnectionInterceptor)
            .build()
    }
}

/** Rejects a connection on which unexpected bytes arrived, and marks the start of sending. */
private object StaleConnectionInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val exchange = checkNotNull(chain.request().tag(Exchange::class.java))
        val socket = checkNotNull(chain.connection()).socket() as ByteCountingSocket
        exchange.onConnectionAcquired(socket)
        if (socket.hasUnexpectedBytes()) {
            socket.close()
            throw StaleConnectionException("bytes arrived before the request was sent")
        }
        socket.beginResponse()
        exchange.onRequestStart()
        return chain.proceed(chain.request())
    }
}

/** Thrown before anything is sent, if a reused connection has received unexpected bytes. */
internal class StaleConnectionException(message: String) : IOException(message)
