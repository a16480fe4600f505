/**
 * The HTTP client of the tool.
 *
 * It distinguishes a daemon that was never connected to from one whose response was lost, since
 * only the former certainly did not execute the call. Responses are read in full before they are
 * returned.
 */
package sycamoremast.cli

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration
import okhttp3.ConnectionPool
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response
import okhttp3.ResponseBody.Companion.toResponseBody
import org.http4k.client.OkHttp
import org.http4k.core.HttpHandler

/** The timeout of a call, in addition to the time that the daemon is asked to wait. */
internal val CALL_TIMEOUT = 10.seconds

private val CONNECT_TIMEOUT = 2.seconds

/** Returns a client whose calls time out after [timeout]. */
internal fun httpClient(timeout: Duration): HttpHandler = OkHttp(
    OkHttpClient.Builder()
        .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
        .readTimeout(timeout.toJavaDuration())
        .callTimeout(timeout.toJavaDuration())
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
        .addInterceptor(::readInFull)
        .addNetworkInterceptor(::recordConnection)
        .build()
)

/** Records whether a call has got a connection. */
private class ConnectionTracker(@Volatile var connected: Boolean = false)

private fun readInFull(chain: Interceptor.Chain): Response {
    val tracker = ConnectionTracker()
    val request = chain.request().newBuilder().tag(ConnectionTracker::class.java, tracker).build()
    return try {
        val response = chain.proceed(request)
        val body = response.body.bytes().toResponseBody(response.body.contentType())
        response.newBuilder().body(body).build()
    } catch (e: IOException) {
        throw ExchangeException(tracker.connected, e.message ?: e.javaClass.simpleName)
    }
}

private fun recordConnection(chain: Interceptor.Chain): Response {
    chain.request().tag(ConnectionTracker::class.java)?.connected = true
    return chain.proceed(chain.request())
}
