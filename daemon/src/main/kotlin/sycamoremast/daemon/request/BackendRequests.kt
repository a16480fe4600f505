/** Converts callers' requests to the HTTP requests that are sent to backend servers. */
package sycamoremast.daemon.request

import kotlin.time.Duration
import okhttp3.Headers
import okhttp3.Request

private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")

/**
 * Returns the HTTP request that sends [request] with [body] to the backend server at [address].
 *
 * A header states the [remaining] time until the deadline.
 *
 * @throws IllegalArgumentException if the HTTP client can't send such a request
 */
internal fun toBackendRequest(
    address: String,
    request: CallerRequest,
    body: CallerBody,
    remaining: Duration
): Request.Builder {
    val method = request.http.method.name
    val hasBody = !body.isEmpty || method in METHODS_WITH_BODY
    return Request.Builder()
        .url("http://$address${request.path}")
        .headers(headers(request, remaining))
        .method(method, if (hasBody) body.toRequestBody() else null)
}

/**
 * Checks that [request] can be sent, before it occupies a slot.
 *
 * @throws CallerException if the HTTP client can't send it
 */
internal fun checkSendable(request: CallerRequest, body: CallerBody) {
    try {
        toBackendRequest(PLACEHOLDER_ADDRESS, request, body, request.deadline)
    } catch (e: IllegalArgumentException) {
        throw CallerException("not a request that can be sent on: ${e.message}")
    }
}

private const val PLACEHOLDER_ADDRESS = "127.0.0.1"

private fun headers(request: CallerRequest, remaining: Duration): Headers {
    val headers = Headers.Builder()
    for ((name, value) in request.http.headers) {
        if (RequestHeaders.isForwarded(name)) headers.addUnsafeNonAscii(name, value.orEmpty())
    }
    if (headers["Accept-Encoding"] == null) headers["Accept-Encoding"] = "identity"
    headers[RequestHeaders.REQUEST_ID] = request.id
    headers[RequestHeaders.DEADLINE_MILLIS] = remaining.inWholeMilliseconds.toString()
    return headers.build()
}
