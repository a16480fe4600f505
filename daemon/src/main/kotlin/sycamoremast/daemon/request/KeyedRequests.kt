/** Runs requests that carry an idempotency key, at most once for each key. */
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
import sycamoremast.daemon.request.AttemptResult.Answer

/** What is said to the caller of a keyed request. */
internal sealed interface KeyedResult {
    /** The request was run, or at least tried. */
    class Ran(val result: RunResult) : KeyedResult

    /** The first run's answer, or word of its state. */
    class Replayed(val response: Response) : KeyedResult
}

internal class KeyedRequests(private val claims: ClaimLedger, private val runner: RequestRunner) {
    /** Returns what is said to the caller of [request], which has the idempotency [key]. */
    fun run(
        request: CallerRequest,
        key: String,
        body: CallerBody,
        life: RequestLifecycle,
        received: Double
    ): KeyedResult {
        runner.refusalOf(request)?.let {
            life.on(RequestEvent.FAIL)
            return KeyedResult.Ran(RunResult.Ended(it))
        }
        life.on(RequestEvent.CLAIM)
        return when (val decision = claims.claim(request, key, body)) {
            is ClaimDecision.Claimed -> KeyedResult.Ran(
                recorded(decision.claim, runner.run(request, body, life, received))
            )

            is ClaimDecision.Answered -> {
                life.on(RequestEvent.REPLAY)
                KeyedResult.Replayed(replay(request.id, decision.answer))
            }

            is ClaimDecision.InProgress -> disputed(request, life, "in-progress")

            is ClaimDecision.Unknown -> disputed(request, life, "unknown")

            is ClaimDecision.Mismatch -> {
                life.on(RequestEvent.REJECT)
                val reason = "the idempotency key was used for another request"
                ended(RequestOutcome.Malformed(UNPROCESSABLE, reason))
            }

            is ClaimDecision.Unavailable -> unavailable(life, decision)
        }
    }

    private fun recorded(claim: Claim, result: RunResult): RunResult = when (result) {
        is RunResult.Answered -> RunResult.Answered(result.answer) { isWhole ->
            if (isWhole) claims.answered(claim, kept(result.answer)) else claims.unknown(claim)
            result.onEnd(isWhole)
        }

        is RunResult.Ended -> result.also {
            if (it.outcome is RequestOutcome.NotRun) claims.notRun(claim) else claims.unknown(claim)
        }
    }

    private fun kept(answer: Answer): StoredResponse {
        val bytes = (answer.body as? AnswerBody.Buffered)?.bytes
        if (bytes == null ||
            bytes.size > ClaimLedger.MAX_KEPT_BYTES
        ) {
            return StoredResponse(answer.status)
        }
        val headers = answer.headers.filter { (name) -> RequestHeaders.isPassedOn(name) }
        return StoredResponse(answer.status, headers, Base64.getEncoder().encodeToString(bytes))
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

    private fun disputed(
        request: CallerRequest,
        life: RequestLifecycle,
        state: String
    ): KeyedResult {
        val failure = RequestFailure(life.state, "self", "the first request's state is $state")
        life.on(RequestEvent.DISPUTE)
        val response = refusal(request.id, RequestOutcome.Unknown(failure))
            .header(RequestHeaders.IDEMPOTENCY_STATE, state)
        return KeyedResult.Replayed(
            if (state == "in-progress") response.status(Status.CONFLICT) else response
        )
    }

    private fun unavailable(
        life: RequestLifecycle,
        decision: ClaimDecision.Unavailable
    ): KeyedResult {
        val failure = RequestFailure(life.state, decision.peer, decision.reason)
        life.on(RequestEvent.FAIL)
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
