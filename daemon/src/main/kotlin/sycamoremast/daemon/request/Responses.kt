/** Converts outcomes and backend responses to the HTTP responses that callers get. */
package sycamoremast.daemon.request

import java.io.InputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.http4k.core.Response
import org.http4k.core.Status
import sycamoremast.coordination.request.RequestFailure
import sycamoremast.coordination.request.RequestOutcome
import sycamoremast.coordination.request.RequestOutcome.Answered
import sycamoremast.coordination.request.RequestOutcome.Malformed
import sycamoremast.coordination.request.RequestOutcome.NotRun
import sycamoremast.coordination.request.RequestOutcome.Unknown

/** Returns the response for an [outcome] without a response of a backend server. */
internal fun outcomeResponse(requestId: String?, outcome: RequestOutcome): Response =
    when (outcome) {
        is Answered -> Response(statusOf(outcome.status)).header(RequestHeaders.OUTCOME, "answered")

        is NotRun -> failureResponse(Status.SERVICE_UNAVAILABLE, "not-run", outcome.failure)
            .header(RequestHeaders.RETRY_AFTER, wholeSeconds(outcome.retryAfter).toString())
            .header(
                RequestHeaders.RETRY_AFTER_MILLIS,
                outcome.retryAfter.inWholeMilliseconds.toString()
            )

        is Unknown -> failureResponse(Status.GATEWAY_TIMEOUT, "unknown", outcome.failure)

        is Malformed -> Response(statusOf(outcome.status))
            .header(RequestHeaders.OUTCOME, "not-run")
            .body(outcome.reason + "\n")
    }.let { if (requestId == null) it else it.header(RequestHeaders.REQUEST_ID, requestId) }

/**
 * Returns the response that forwards [backendResponse] to the caller of [request].
 *
 * [onEnd] is called once, with whether the body was received completely.
 */
internal fun forwardedResponse(
    request: CallerRequest,
    backendResponse: AttemptResult.BackendResponse,
    onEnd: (Boolean) -> Unit
): Response {
    val head = Response(statusOf(backendResponse.status))
        .headers(backendResponse.headers.filter { (name) -> RequestHeaders.isForwarded(name) })
        .header(RequestHeaders.OUTCOME, "answered")
        .header(RequestHeaders.REQUEST_ID, request.id)
    return when (val body = backendResponse.body) {
        is BackendResponseBody.Buffered -> {
            onEnd(true)
            head.withBody(backendResponse, body.bytes.inputStream(), body.bytes.size.toLong())
        }

        is BackendResponseBody.Streamed -> head.withBody(
            backendResponse,
            OnCloseInputStream(body.stream) { onEnd(body.isComplete()) },
            body.length
        )
    }
}

/**
 * Returns the response with the body [stream].
 *
 * A known [length] is always sent, so that a truncated response is never taken for a complete one.
 */
private fun Response.withBody(
    backendResponse: AttemptResult.BackendResponse,
    stream: InputStream,
    length: Long?
) = when {
    length == null -> body(stream)
    length == 0L && backendResponse.isBodiless -> body(stream, length)
    else -> body(stream, length).header("Content-Length", length.toString())
}

private fun failureResponse(status: Status, outcome: String, failure: RequestFailure): Response {
    val step = failure.step.name.lowercase().replace('_', '-')
    return Response(status)
        .header(RequestHeaders.OUTCOME, outcome)
        .header(RequestHeaders.FAILURE, "step=$step peer=${failure.peer}")
        .body("$outcome: ${failure.reason} (step=$step peer=${failure.peer})\n")
}

private fun statusOf(code: Int) = Status.fromCode(code) ?: Status(code, null)

private fun wholeSeconds(duration: Duration) =
    kotlin.math.ceil(duration.toDouble(DurationUnit.SECONDS)).toLong()
