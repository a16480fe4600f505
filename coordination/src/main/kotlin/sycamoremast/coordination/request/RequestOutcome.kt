/** The outcome of a request as reported to its caller. */
package sycamoremast.coordination.request

import kotlin.time.Duration

/** The final outcome of a request; every request gets exactly one. */
sealed interface RequestOutcome {
    /** A backend server ran the request and its complete response was received. */
    data class Answered(val status: Int) : RequestOutcome

    /** No backend server ran the request; the caller may retry after [retryAfter]. */
    data class NotRun(val failure: RequestFailure, val retryAfter: Duration) : RequestOutcome

    /** The request failed, but a backend server may have run it. */
    data class Unknown(val failure: RequestFailure) : RequestOutcome

    /** The request is invalid and can't succeed by a retry. */
    data class Malformed(val status: Int, val reason: String) : RequestOutcome
}

/** A failure with its [reason], the state [step] in which it occurred and the [peer] involved. */
data class RequestFailure(val step: RequestState, val peer: String, val reason: String)
