/**
 * Prevents the HTTP client from sending a request more than once.
 *
 * OkHttp follows redirects and retries after failed connections, both of which can be disabled. It
 * also retries a request after a 503 response with `Retry-After: 0`, which can't be disabled. That
 * header is therefore hidden under another name while OkHttp evaluates the response.
 */
package sycamoremast.daemon.http

import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response

private const val RETRY_AFTER = "Retry-After"
private const val HIDDEN_RETRY_AFTER = "X-Held-Retry-After"

/** Disables redirects and all automatic retries; returns this builder. */
internal fun OkHttpClient.Builder.withoutFollowUps(): OkHttpClient.Builder =
    retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .addNetworkInterceptor(Interceptor { it.proceed(it.request()).withRenamed(HIDE) })
        .addInterceptor(Interceptor { it.proceed(it.request()).withRenamed(RESTORE) })

private data class HeaderRename(val from: String, val to: String)

private val HIDE = HeaderRename(RETRY_AFTER, HIDDEN_RETRY_AFTER)
private val RESTORE = HeaderRename(HIDDEN_RETRY_AFTER, RETRY_AFTER)

private fun Response.withRenamed(rename: HeaderRename): Response {
    val value = header(rename.from) ?: return this
    return newBuilder()
        .removeHeader(rename.from)
        .header(rename.to, value)
        .build()
}
