/**
 * Keeps the HTTP client from sending a request again by itself.
 *
 * The client follows redirects, repeats after failed connections, and, with no switch against it,
 * repeats a request that was answered 503 with `Retry-After: 0`. That header is therefore kept out
 * of the client's sight and put back before the answer is handed on.
 */
package sycamoremast.daemon.http

import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response

private const val RETRY_AFTER = "Retry-After"
private const val HELD_RETRY_AFTER = "X-Held-Retry-After"

/** Returns this builder with every repeat of a request turned off. */
internal fun OkHttpClient.Builder.withoutFollowUps(): OkHttpClient.Builder =
    retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .addNetworkInterceptor(Interceptor { it.proceed(it.request()).renamed(HOLD) })
        .addInterceptor(Interceptor { it.proceed(it.request()).renamed(RELEASE) })

private data class Renaming(val from: String, val to: String)

private val HOLD = Renaming(RETRY_AFTER, HELD_RETRY_AFTER)
private val RELEASE = Renaming(HELD_RETRY_AFTER, RETRY_AFTER)

private fun Response.renamed(renaming: Renaming): Response {
    val value = header(renaming.from) ?: return this
    return newBuilder()
        .removeHeader(renaming.from)
        .header(renaming.to, value)
        .build()
}
