/**
 * Runs one request: waits for a slot, sends it, and retries where that is safe and allowed.
 *
 * A request is sent again only if it certainly did not run, or may run more than once; only within
 * the budget of retries, and never past the caller's deadline.
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
import sycamoremast.daemon.request.AttemptResult.Answer
import sycamoremast.daemon.request.AttemptResult.Failed
import sycamoremast.daemon.request.AttemptResult.Refused

/** The end of a request: an answer, or an outcome without one. */
internal sealed interface RunResult {
    /** The answer has begun; [onEnd] is to be called with whether it was passed on whole. */
    class Answered(val answer: Answer, val onEnd: (Boolean) -> Unit) : RunResult

    /** There is no answer. */
    class Ended(val outcome: RequestOutcome) : RunResult
}

internal class RequestRunner(
    private val dispatcher: Dispatcher,
    private val meters: RequestMeters,
    private val random: Random = Random.Default
) {
    private val budgets = ConcurrentHashMap<String, RetryBudget>()

    /** Returns the end of [request], whose [life] is about to be queued. */
    fun run(
        request: CallerRequest,
        body: CallerBody,
        life: RequestLifecycle,
        received: Double
    ): RunResult {
        budget(request).deposit(request.retryPercent)
        life.on(RequestEvent.QUEUE)
        val deadline = received + request.deadline.inWholeMilliseconds
        return Attempts(request, body, life, deadline).run()
    }

    /** Returns the outcome of [request] if it would be refused at once, or null. */
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
        private val life: RequestLifecycle,
        private val deadlineMillis: Double
    ) {
        private val avoid = hashSetOf<String>()
        private var sent = 0
        private var staleConnections = 0

        fun run(): RunResult {
            while (true) {
                when (val decision = acquire()) {
                    is Decision.Refused -> return refused(decision)
                    is Decision.Granted -> sendOnce(decision)?.let { return it }
                }
            }
        }

        private fun acquire(): Decision {
            val arrival = arrivalOf(request, remainingMillis())
            val began = dispatcher.nowMillis()
            return dispatcher.acquire(request.service, arrival, avoid)
                .also { meters.waited(request.service, dispatcher.nowMillis() - began) }
        }

        /** Returns the end of the request, or null if it is to be tried again. */
        private fun sendOnce(granted: Decision.Granted): RunResult? {
            life.on(RequestEvent.DISPATCH)
            sent++
            val remaining = remainingMillis().milliseconds.coerceAtLeast(1.milliseconds)
            val result = send(granted, remaining)
            if (result is Answer) return answered(granted, result)
            giveBack(granted, result)
            avoid += granted.backend.name
            val failure = failureOf(result)
            if (!mayRetry(result, granted)) return ended(failure, (result as? Refused)?.retryAfter)
            life.on(RequestEvent.RETRY)
            pause(result)
            return null
        }

        private fun giveBack(granted: Decision.Granted, result: AttemptResult) {
            val sign = signOf(result, granted)
            val isGivenUp = result is Failed && result.kind == FailureKind.DEADLINE
            if (isGivenUp && !life.isCertainlyNotRun) {
                dispatcher.abandon(request.service, granted, sign)
            } else {
                dispatcher.release(request.service, granted, sign)
            }
        }

        /** Gives the slot back, too, if sending fails in a way that was not foreseen. */
        private fun send(granted: Decision.Granted, remaining: Duration): AttemptResult {
            var result: AttemptResult? = null
            try {
                return granted.backend.client.send(request, body, life, remaining)
                    .also { result = it }
            } finally {
                if (result == null) dispatcher.release(request.service, granted, BackendSign.Broken)
            }
        }

        private fun answered(granted: Decision.Granted, answer: Answer): RunResult {
            val whole = BackendSign.Answered(answer.isDraining)
            return RunResult.Answered(answer) { isWhole ->
                life.on(if (isWhole) RequestEvent.COMPLETE else RequestEvent.FAIL)
                val sign = if (isWhole) whole else BackendSign.Broken
                dispatcher.release(request.service, granted, sign)
            }
        }

        private fun refused(decision: Decision.Refused): RunResult =
            ended(RequestFailure(life.state, "self", decision.reason), decision.retryAfter)

        private fun ended(failure: RequestFailure, retryAfter: Duration?): RunResult {
            val outcome = when (life.on(RequestEvent.FAIL)) {
                RequestState.NOT_RUN -> RequestOutcome.NotRun(
                    failure,
                    retryAfter ?: dispatcher.bookReturn(request.service)
                )

                else -> RequestOutcome.Unknown(failure)
            }
            return RunResult.Ended(outcome)
        }

        private fun mayRetry(result: AttemptResult, granted: Decision.Granted): Boolean {
            val isSafe = life.isCertainlyNotRun || request.isIdempotent
            if (!isSafe || !body.isRepeatable || !isRetryable(result)) return false
            if (remainingMillis() < leastMillis(granted)) return false
            if (isStale(result)) return ++staleConnections <= MAX_STALE_CONNECTIONS
            return budget(request).tryWithdraw().also { meters.retry(request.service, it) }
        }

        /** A retry that may be cut off by the deadline would leave the outcome unknown. */
        private fun leastMillis(granted: Decision.Granted) = maxOf(
            RETRY_RUN_TIMES * granted.request.p90Millis,
            RETRY_DEADLINE_SHARE * request.deadline.inWholeMilliseconds
        )

        private fun isRetryable(result: AttemptResult) =
            result !is Failed || result.kind !in setOf(FailureKind.CALLER, FailureKind.DEADLINE)

        private fun pause(result: AttemptResult) {
            if (isStale(result)) return
            val most = (remainingMillis() / 2).toLong().coerceAtLeast(0)
            val millis = minOf(retryDelay(sent, random).inWholeMilliseconds, most)
            TimeUnit.MILLISECONDS.sleep(millis)
        }

        private fun isStale(result: AttemptResult) =
            result is Failed && result.kind == FailureKind.STALE_CONNECTION

        private fun remainingMillis() = deadlineMillis - dispatcher.nowMillis()
    }

    private fun failureOf(result: AttemptResult): RequestFailure = when (result) {
        is Refused -> result.failure
        is Failed -> result.failure
        is Answer -> error("an answer is no failure")
    }

    private fun signOf(result: AttemptResult, granted: Decision.Granted): BackendSign =
        when (result) {
            is Answer -> BackendSign.Answered(result.isDraining)

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

    /** A deadline that was too short anyway says nothing of the server. */
    private fun isOverdue(granted: Decision.Granted) =
        dispatcher.nowMillis() - granted.atMillis > OVERDUE_FACTOR * granted.request.p90Millis

    private companion object {
        const val OVERDUE_FACTOR = 2.0
        const val DEFAULT_EXPECTED_MILLIS = 100L
        const val RETRY_RUN_TIMES = 2.0
        const val RETRY_DEADLINE_SHARE = 0.1
        const val MAX_STALE_CONNECTIONS = 3
    }
}
