/** Runs requests that have an idempotency key, at most once for each key. */
package sycamoremast.daemon.request

import java.util.Base64
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import org.http4k.core.Response
import org.http4k.core.Status
import sycamoremast.coordination.request.Claim
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestFailure
import sycamoremast.coordination.request.RequestLifecycle
import sycamoremast.coordination.request.RequestOutcome
import sycamoremast.coordination.request.StoredResponse
import sycamoremast.daemon.request.AttemptResult.BackendResponse

/** The result of a request that has an idempotency key. */
internal sealed interface KeyedResult {
    /** The request was processed as the first one with its key, or failed before it was sent. */
    class Ran(val result: RunResult) : KeyedResult

    /** The request was not run; [response] is the first one or the state of the first run. */
    class Replayed(val response: Response) : KeyedResult
}

/** Runs requests through [runner] after their idempotency keys were claimed in [claims]. */
internal class KeyedRequests(private val claims: ClaimLedger, private val runner: RequestRunner) {
    /** Runs [request], which has the idempotency key [key], unless an earlier one used the key. */
    fun run(
        request: CallerRequest,
        key: String,
        body: CallerBody,
        lifecycle: RequestLifecycle,
        receivedMillis: Double
    ): KeyedResult {
        runner.refusalOf(request)?.let {
            lifecycle.on(RequestEvent.FAIL)
            return KeyedResult.Ran(RunResult.Ended(it))
        }
        lifecycle.on(RequestEvent.CLAIM)
        return when (val decision = claims.claim(request, key, body)) {
            is ClaimDecision.Claimed -> KeyedResult.Ran(
                recordResult(decision.claim, runner.run(request, body, lifecycle, receivedMillis))
            )

            is ClaimDecision.Answered -> {
                lifecycle.on(RequestEvent.REPLAY)
                KeyedResult.Replayed(replay(request.id, decision.answer))
            }

            is ClaimDecision.InProgress -> unresolvedRepeat(request, lifecycle, "in-progress")

            is ClaimDecision.Unknown -> unresolvedRepeat(request, lifecycle, "unknown")

            is ClaimDecision.Mismatch -> {
                lifecycle.on(RequestEvent.REJECT)
                val reason = "the idempotency key was used for another request"
                ended(RequestOutcome.Malformed(UNPROCESSABLE, reason))
            }

            is ClaimDecision.Unavailable -> unavailable(lifecycle, decision)
        }
    }

    private fun recordResult(claim: Claim, result: RunResult): RunResult = when (result) {
        is RunResult.Answered -> RunResult.Answered(result.response) { isComplete ->
            if (isComplete) {
                claims.recordAnswered(claim, toKeptAnswer(result.response))
            } else {
                claims.recordUnknown(claim)
            }
            result.onEnd(isComplete)
        }

        is RunResult.Ended -> result.also {
            if (it.outcome is RequestOutcome.NotRun) {
                claims.releaseKey(claim)
            } else {
                claims.recordUnknown(claim)
            }
        }
    }

    private fun toKeptAnswer(response: BackendResponse): StoredResponse {
        val bytes = (response.body as? BackendResponseBody.Buffered)?.bytes
        if (bytes == null ||
            bytes.size > ClaimLedger.MAX_KEPT_BYTES
        ) {
            return StoredResponse(response.status)
        }
        val headers = response.headers.filter { (name) -> RequestHeaders.isForwarded(name) }
        return StoredResponse(response.status, headers, Base64.getEncoder().encodeToString(bytes))
    }

    private fun replay(requestId: String, answer: StoredResponse): Response {
        val body = answer.body ?: return Response(Status.CONFLICT)
            .header(RequestHeaders.OUTCOME, "answered")
            .header(RequestHeaders.IDEMPOTENCY_STATE, "answered")
            .header(RequestHeaders.REQUEST_ID, requestId)
            .body("answered before with status ${answer.status}; the answer was not kept\n")
        val bytes = Base64.getDecoder().decode(body)
        return Response(Status.fromCode(answer.status) ?: Status(answer.status, null))
            .headers(answer.headers)
            .header(RequestHeaders.OUTCOME, "answered")
            .header(RequestHeaders.IDEMPOTENCY_STATE, "answered")
            .header(RequestHeaders.REQUEST_ID, requestId)
            .body(bytes.inputStream(), bytes.size.toLong())
    }

    private fun unresolvedRepeat(
        request: CallerRequest,
        lifecycle: RequestLifecycle,
        state: String
    ): KeyedResult {
        val failure = RequestFailure(lifecycle.state, "self", "the first request's state is $state")
        lifecycle.on(RequestEvent.DISPUTE)
        val response = outcomeResponse(request.id, RequestOutcome.Unknown(failure))
            .header(RequestHeaders.IDEMPOTENCY_STATE, state)
        return KeyedResult.Replayed(
            if (state == "in-progress") response.status(Status.CONFLICT) else response
        )
    }

    private fun unavailable(
        lifecycle: RequestLifecycle,
        decision: ClaimDecision.Unavailable
    ): KeyedResult {
        val failure = RequestFailure(lifecycle.state, decision.peer, decision.reason)
        lifecycle.on(RequestEvent.FAIL)
        val retryAfter = Random.nextLong(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS).milliseconds
        return ended(RequestOutcome.NotRun(failure, retryAfter))
    }

    private fun ended(outcome: RequestOutcome) = KeyedResult.Ran(RunResult.Ended(outcome))

    private companion object {
        const val UNPROCESSABLE = 422
        const val MIN_RETRY_MILLIS = 1_000L
        const val MAX_RETRY_MILLIS = 3_000L
    }
}
