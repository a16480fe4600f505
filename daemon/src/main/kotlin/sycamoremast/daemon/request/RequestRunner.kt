/**
 * Runs requests: waits for a slot, sends the request, and retries it where that is safe.
 *
 * A request is retried only if it certainly did not run or is idempotent, only within the retry
 * budget, and never past the caller's deadline.
 */
package sycamoremast.daemon.request

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.coordination.request.Arrival
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestFailure
import sycamoremast.coordination.request.RequestLifecycle
import sycamoremast.coordination.request.RequestOutcome
import sycamoremast.coordination.request.RequestState
import sycamoremast.coordination.request.RetryBudget
import sycamoremast.coordination.request.RunTimeKey
import sycamoremast.coordination.request.retryDelay
import sycamoremast.daemon.request.AttemptResult.BackendResponse
import sycamoremast.daemon.request.AttemptResult.Failed
import sycamoremast.daemon.request.AttemptResult.Refused

/** The result of a request: a backend server's response, or an outcome without one. */
internal sealed interface RunResult {
    /** The response has begun; [onEnd] must be called with whether it was forwarded completely. */
    class Answered(val response: BackendResponse, val onEnd: (Boolean) -> Unit) : RunResult

    /** The request ended without a response of a backend server. */
    class Ended(val outcome: RequestOutcome) : RunResult
}

/** Runs requests on the slots that [dispatcher] assigns. */
internal class RequestRunner(
    private val dispatcher: Dispatcher,
    private val meters: RequestMeters,
    private val random: Random = Random.Default
) {
    private val budgets = ConcurrentHashMap<String, RetryBudget>()

    /** Runs [request], which was received at the dispatcher's time [receivedMillis]. */
    fun run(
        request: CallerRequest,
        body: CallerBody,
        lifecycle: RequestLifecycle,
        receivedMillis: Double
    ): RunResult {
        budget(request).deposit(request.retryPercent)
        lifecycle.on(RequestEvent.QUEUE)
        val deadline = receivedMillis + request.deadline.inWholeMilliseconds
        return Attempts(request, body, lifecycle, deadline).run()
    }

    /** Returns the outcome of [request] if it would be refused immediately, or null. */
    fun refusalOf(request: CallerRequest): RequestOutcome.NotRun? {
        val arrival = arrivalOf(request, request.deadline.inWholeMilliseconds.toDouble())
        val refused = dispatcher.refusalOf(request.service, arrival) ?: return null
        val failure = RequestFailure(RequestState.RECEIVED, "self", refused.reason)
        return RequestOutcome.NotRun(failure, refused.retryAfter)
    }

    private fun arrivalOf(request: CallerRequest, remainingMillis: Double): Arrival {
        val key = RunTimeKey(request.team, request.routeName)
        val declared = request.route?.expected?.inWholeMilliseconds ?: DEFAULT_EXPECTED_MILLIS
        return Arrival(key, declared.toDouble(), remainingMillis)
    }

    private fun budget(request: CallerRequest) =
        budgets.computeIfAbsent(request.service) { RetryBudget() }

    private inner class Attempts(
        private val request: CallerRequest,
        private val body: CallerBody,
        private val lifecycle: RequestLifecycle,
        private val deadlineMillis: Double
    ) {
        private val triedBackends = hashSetOf<String>()
        private var attemptCount = 0
        private var staleConnections = 0

        fun run(): RunResult {
            while (true) {
                when (val decision = acquire()) {
                    is Decision.Refused -> return failRefused(decision)
                    is Decision.Granted -> sendOnce(decision)?.let { return it }
                }
            }
        }

        private fun acquire(): Decision {
            val arrival = arrivalOf(request, remainingMillis())
            val began = dispatcher.nowMillis()
            return dispatcher.acquire(request.service, arrival, triedBackends)
                .also { meters.recordWait(request.service, dispatcher.nowMillis() - began) }
        }

        /** Sends the request once, and returns its result, or null if it has to be retried. */
        private fun sendOnce(granted: Decision.Granted): RunResult? {
            lifecycle.on(RequestEvent.DISPATCH)
            attemptCount++
            val remaining = remainingMillis().milliseconds.coerceAtLeast(1.milliseconds)
            val result = send(granted, remaining)
            if (result is BackendResponse) return toAnswered(granted, result)
            releaseSlot(granted, result)
            triedBackends += granted.backend.name
            val failure = failureOf(result)
            if (!mayRetry(result, granted)) {
                return failWith(failure, (result as? Refused)?.retryAfter)
            }
            lifecycle.on(RequestEvent.RETRY)
            backOff(result)
            return null
        }

        private fun releaseSlot(granted: Decision.Granted, result: AttemptResult) {
            val sign = signOf(result, granted)
            val isTimedOut = result is Failed && result.kind == FailureKind.DEADLINE
            if (isTimedOut && !lifecycle.isCertainlyNotRun) {
                dispatcher.abandon(request.service, granted, sign)
            } else {
                dispatcher.release(request.service, granted, sign)
            }
        }

        /** Sends the request, and releases the slot even if that throws unexpectedly. */
        private fun send(granted: Decision.Granted, remaining: Duration): AttemptResult {
            var result: AttemptResult? = null
            try {
                return granted.backend.client.send(request, body, lifecycle, remaining)
                    .also { result = it }
            } finally {
                if (result == null) {
                    dispatcher.release(request.service, granted, BackendSign.Broken)
                }
            }
        }

        private fun toAnswered(granted: Decision.Granted, response: BackendResponse): RunResult {
            val completeSign = BackendSign.Answered(response.isDraining)
            return RunResult.Answered(response) { isComplete ->
                lifecycle.on(if (isComplete) RequestEvent.COMPLETE else RequestEvent.FAIL)
                val sign = if (isComplete) completeSign else BackendSign.Broken
                dispatcher.release(request.service, granted, sign)
            }
        }

        private fun failRefused(decision: Decision.Refused): RunResult =
            failWith(RequestFailure(lifecycle.state, "self", decision.reason), decision.retryAfter)

        private fun failWith(failure: RequestFailure, retryAfter: Duration?): RunResult {
            val outcome = when (lifecycle.on(RequestEvent.FAIL)) {
                RequestState.NOT_RUN -> RequestOutcome.NotRun(
                    failure,
                    retryAfter ?: dispatcher.reserveRetry(request.service)
                )

                else -> RequestOutcome.Unknown(failure)
            }
            return RunResult.Ended(outcome)
        }

        private fun mayRetry(result: AttemptResult, granted: Decision.Granted): Boolean {
            val isSafe = lifecycle.isCertainlyNotRun || request.isIdempotent
            if (!isSafe || !body.isRepeatable || !isRetryable(result)) return false
            if (remainingMillis() < minRetryMillis(granted)) return false
            if (isStale(result)) return ++staleConnections <= MAX_STALE_CONNECTIONS
            return budget(request).tryWithdraw().also { meters.countRetry(request.service, it) }
        }

        /**
         * Returns the time that must remain for a retry.
         *
         * A retry that is interrupted by the deadline would leave the outcome unknown.
         */
        private fun minRetryMillis(granted: Decision.Granted) = maxOf(
            RETRY_RUN_TIME_FACTOR * granted.request.p90Millis,
            RETRY_DEADLINE_SHARE * request.deadline.inWholeMilliseconds
        )

        private fun isRetryable(result: AttemptResult) =
            result !is Failed || result.kind !in setOf(FailureKind.CALLER, FailureKind.DEADLINE)

        private fun backOff(result: AttemptResult) {
            if (isStale(result)) return
            val maxDelayMillis = (remainingMillis() / 2).toLong().coerceAtLeast(0)
            val millis = minOf(retryDelay(attemptCount, random).inWholeMilliseconds, maxDelayMillis)
            TimeUnit.MILLISECONDS.sleep(millis)
        }

        private fun isStale(result: AttemptResult) =
            result is Failed && result.kind == FailureKind.STALE_CONNECTION

        private fun remainingMillis() = deadlineMillis - dispatcher.nowMillis()
    }

    private fun failureOf(result: AttemptResult): RequestFailure = when (result) {
        is Refused -> result.failure
        is Failed -> result.failure
        is BackendResponse -> error("a backend response is not a failure")
    }

    private fun signOf(result: AttemptResult, granted: Decision.Granted): BackendSign =
        when (result) {
            is BackendResponse -> BackendSign.Answered(result.isDraining)

            is Refused -> if (result.isBusy) {
                BackendSign.Busy(result.isDraining)
            } else {
                BackendSign.Unreachable(result.isDraining)
            }

            is Failed -> when (result.kind) {
                FailureKind.CONNECT -> BackendSign.Unreachable()
                FailureKind.BROKEN -> BackendSign.Broken
                FailureKind.DEADLINE -> if (isOverdue(
                        granted
                    )
                ) {
                    BackendSign.Broken
                } else {
                    BackendSign.Nothing
                }
                FailureKind.STALE_CONNECTION, FailureKind.CALLER -> BackendSign.Nothing
            }
        }

    /**
     * Returns whether the attempt took much longer than expected when its deadline passed.
     *
     * Otherwise the deadline was too short, which says nothing about the server.
     */
    private fun isOverdue(granted: Decision.Granted) =
        dispatcher.nowMillis() - granted.atMillis > OVERDUE_FACTOR * granted.request.p90Millis

    private companion object {
        const val OVERDUE_FACTOR = 2.0
        const val DEFAULT_EXPECTED_MILLIS = 100L
        const val RETRY_RUN_TIME_FACTOR = 2.0
        const val RETRY_DEADLINE_SHARE = 0.1
        const val MAX_STALE_CONNECTIONS = 3
    }
}
