/**
 * Sends requests to one backend server.
 *
 * The step at which an attempt fails is recorded in the request's life while it happens: the
 * state `CONNECTING` is left just before the first byte is written. An answer is taken only if its
 * length is known, it is whole, nothing follows it, and it does not name another request.
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
import sycamoremast.daemon.request.AttemptResult.Answer
import sycamoremast.daemon.request.AttemptResult.Failed
import sycamoremast.daemon.request.AttemptResult.Refused

internal class BackendClient(private val address: String, maxConnections: Int) : AutoCloseable {
    private val pool =
        ConnectionPool(maxConnections, IDLE_CONNECTION.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    private val client = SHARED.newBuilder().connectionPool(pool).build()

    /** Whether the server has echoed the id of a request. */
    @Volatile
    private var namesAnswers = false

    /** Returns the open connections, idle ones included. */
    val connectionCount: Int get() = pool.connectionCount()

    /** Returns the result of sending [request] with [body], after [life] has been dispatched. */
    fun send(
        request: CallerRequest,
        body: CallerBody,
        life: RequestLifecycle,
        remaining: Duration
    ): AttemptResult {
        val exchange = Exchange(life)
        return try {
            val http = toHttp(address, request, body, remaining)
                .tag(Exchange::class.java, exchange)
                .build()
            val call = client.newCall(http)
            call.timeout().timeout(remaining.inWholeNanoseconds, TimeUnit.NANOSECONDS)
            receive(call.execute(), request, life, exchange)
        } catch (e: IOException) {
            failed(life, e)
        } catch (e: IllegalArgumentException) {
            failed(life, CallerException("not a valid request: ${e.message}"))
        }
    }

    /** Closes the idle connections, for example after the share of connections has shrunk. */
    fun closeIdle() = pool.evictAll()

    override fun close() = pool.evictAll()

    private fun receive(
        response: Response,
        request: CallerRequest,
        life: RequestLifecycle,
        exchange: Exchange
    ): AttemptResult {
        val draining = response.header(RequestHeaders.DRAINING).toBoolean()
        val reader = AnswerReader(response, exchange)
        checkName(response, request, reader, exchange.socket())
        if (response.code == SERVICE_UNAVAILABLE &&
            response.header(RequestHeaders.NOT_RUN) != null
        ) {
            reader.discard()
            val failure = RequestFailure(life.state, address, "the backend server refused")
            life.on(RequestEvent.REFUSE)
            val isBusy = response.header(RequestHeaders.NOT_RUN) in RequestHeaders.BUSY
            return Refused(failure, retryAfterOf(response), isBusy, draining)
        }
        life.on(RequestEvent.ANSWER_BEGUN)
        return Answer(
            response.code,
            response.headers.toList(),
            reader.read(),
            reader.isBodiless,
            draining
        )
    }

    /**
     * Makes sure that [response] does not belong to another request.
     *
     * An earlier answer that is late or was sent twice may arrive on a kept connection just after
     * that was found to be quiet. It is told by its missing name if the server names its answers.
     *
     * @throws IOException if it names another request, or should name this one and names none
     */
    private fun checkName(
        response: Response,
        request: CallerRequest,
        reader: AnswerReader,
        socket: WatchedSocket
    ) {
        val named = response.header(RequestHeaders.REQUEST_ID)
        if (named == request.id) namesAnswers = true
        if (named == request.id || (named == null && !isNameExpected(response, socket))) return
        reader.abort()
        throw IOException("the answer names another request: $named")
    }

    private fun isNameExpected(response: Response, socket: WatchedSocket) =
        namesAnswers && socket.isReused && response.header(RequestHeaders.NOT_RUN) == null

    private fun failed(life: RequestLifecycle, e: IOException): Failed {
        val kind = when {
            e is CallerException -> FailureKind.CALLER
            e is StaleConnectionException -> FailureKind.STALE_CONNECTION
            e is InterruptedIOException && e.message == CALL_TIMEOUT -> FailureKind.DEADLINE
            life.isCertainlyNotRun -> FailureKind.CONNECT
            else -> FailureKind.BROKEN
        }
        val reason = e.message ?: e.javaClass.simpleName
        return Failed(RequestFailure(life.state, address, reason), kind)
    }

    private fun retryAfterOf(response: Response): Duration? {
        val millis = response.header(RequestHeaders.RETRY_AFTER_MILLIS)?.toLongOrNull()
        val seconds = response.header(RequestHeaders.RETRY_AFTER)?.toLongOrNull()
        return (millis?.milliseconds ?: seconds?.seconds)?.takeIf { !it.isNegative() }
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
        const val CALL_TIMEOUT = "timeout"
        val IDLE_CONNECTION = 4.seconds
        val CONNECT_TIMEOUT = 1.seconds

        /** What all clients have in common: no retry, no redirect, no proxy. */
        val SHARED: OkHttpClient = OkHttpClient.Builder()
            .withoutFollowUps()
            .fastFallback(false)
            .proxy(Proxy.NO_PROXY)
            .socketFactory(WatchedSocketFactory)
            .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
            .readTimeout(Duration.ZERO.toJavaDuration())
            .writeTimeout(Duration.ZERO.toJavaDuration())
            .eventListenerFactory(ExchangeListener.FACTORY)
            .addNetworkInterceptor(ConnectionCheck)
            .build()
    }
}

/** Refuses to reuse a connection on which bytes came unasked, and marks the start of sending. */
private object ConnectionCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val exchange = checkNotNull(chain.request().tag(Exchange::class.java))
        val socket = checkNotNull(chain.connection()).socket() as WatchedSocket
        exchange.acquired(socket)
        if (socket.hasUnexpectedBytes()) {
            socket.close()
            throw StaleConnectionException("bytes arrived before the request was sent")
        }
        socket.beginAnswer()
        exchange.sending()
        return chain.proceed(chain.request())
    }
}

/** Thrown before anything was sent, when a kept connection turns out to be unfit. */
internal class StaleConnectionException(message: String) : IOException(message)
