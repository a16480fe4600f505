/** HTTP calls made by the experiments themselves. */
package sycamoremast.bench

import java.util.concurrent.TimeUnit.SECONDS
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

private const val TIMEOUT_SECONDS = 30L

/** A client that does not retry, so that one call is one request. */
internal val httpClient: OkHttpClient = OkHttpClient.Builder()
    .retryOnConnectionFailure(false)
    .callTimeout(TIMEOUT_SECONDS, SECONDS)
    .build()

/** Posts [json] to [url] and returns the size of the response body in bytes. */
internal fun postForResponseBytes(url: String, json: String): Int {
    val body = json.toRequestBody("application/json".toMediaType())
    val request = Request.Builder().url(url).post(body).build()
    return httpClient.newCall(request).execute().use { it.body.bytes().size }
}
