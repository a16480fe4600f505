/** Plain calls over HTTP. */
package sycamoremast.bench

import java.util.concurrent.TimeUnit.SECONDS
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

private const val TIMEOUT_SECONDS = 30L

internal val plainClient: OkHttpClient = OkHttpClient.Builder()
    .retryOnConnectionFailure(false)
    .callTimeout(TIMEOUT_SECONDS, SECONDS)
    .build()

/** Returns the number of bytes in the body of the answer to [json], posted to [url]. */
internal fun postedAnswerBytes(url: String, json: String): Int {
    val body = json.toRequestBody("application/json".toMediaType())
    val request = Request.Builder().url(url).post(body).build()
    return plainClient.newCall(request).execute().use { it.body.bytes().size }
}
