/**
 * The HTTP client of the tool.
 *
 * It tells a daemon that was never reached from one whose answer was lost, since only the first is
 * known to have done nothing. An answer is read in full before it is returned.
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

/** The longest that a call may take, apart from the time that it is asked to wait. */
internal val CALL_TIMEOUT = 10.seconds

private val CONNECT_TIMEOUT = 2.seconds

/** Returns a client whose calls take [timeout] at the most. */
internal fun httpClient(timeout: Duration): HttpHandler = OkHttp(
    OkHttpClient.Builder()
        .connectTimeout(CONNECT_TIMEOUT.toJavaDuration())
        .readTimeout(timeout.toJavaDuration())
        .callTimeout(timeout.toJavaDuration())
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
        .addInterceptor(::readInFull)
        .addNetworkInterceptor(::noteConnection)
        .build()
)

private class Progress(@Volatile var connected: Boolean = false)

private fun readInFull(chain: Interceptor.Chain): Response {
    val progress = Progress()
    val request = chain.request().newBuilder().tag(Progress::class.java, progress).build()
    return try {
        val response = chain.proceed(request)
        val body = response.body.bytes().toResponseBody(response.body.contentType())
        response.newBuilder().body(body).build()
    } catch (e: IOException) {
        throw ExchangeException(progress.connected, e.message ?: e.javaClass.simpleName)
    }
}

private fun noteConnection(chain: Interceptor.Chain): Response {
    chain.request().tag(Progress::class.java)?.connected = true
    return chain.proceed(chain.request())
}
