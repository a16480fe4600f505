/** What a caller is told about its request, and how far the request had got. */
package sycamoremast.coordination.request

import kotlin.time.Duration

/** The final outcome of a request; every request gets exactly one. */
sealed interface RequestOutcome {
    /** A backend server ran the request and its whole answer was received. */
    data class Answered(val status: Int) : RequestOutcome

    /** No backend server ran the request; the caller may repeat it after [retryAfter]. */
    data class NotRun(val failure: RequestFailure, val retryAfter: Duration) : RequestOutcome

    /** A backend server may have run the request. */
    data class Unknown(val failure: RequestFailure) : RequestOutcome

    /** The request can't be run as it is, now or later. */
    data class Malformed(val status: Int, val reason: String) : RequestOutcome
}

/** A failure, with the [step] and the [peer] at which it arose. */
data class RequestFailure(val step: RequestState, val peer: String, val reason: String)
