/** Why a call on a daemon did not give what was asked for. */
package sycamoremast.cli

import sycamoremast.configuration.operator.DocumentView
import sycamoremast.configuration.operator.ErrorView

internal sealed interface CallError {
    /** Whether another daemon may be asked for the same without doing it twice. */
    val allowsAnotherDaemon: Boolean
        get() = false

    /** No daemon took the call; each failure names its peer. */
    data class NotReached(val failures: List<Failure>) : CallError {
        constructor(step: String, peer: String, reason: String) :
            this(listOf(Failure(step, peer, reason)))

        override val allowsAnotherDaemon get() = true

        fun and(other: NotReached) = NotReached(failures + other.failures)
    }

    /** The call may or may not have taken effect. */
    data class OutcomeUnknown(val step: String, val peer: String, val reason: String) : CallError

    /** The daemon did not carry out the call; another one may, if it is [retryable]. */
    data class Refused(val error: ErrorView, val retryable: Boolean) : CallError {
        override val allowsAnotherDaemon get() = retryable
    }

    /** What the call is about does not exist. */
    data class NotFound(val error: ErrorView) : CallError

    /** [other] has been accepted since the revision that the change started from. */
    data class LostRace(val other: DocumentView) : CallError

    /** The configuration has [errors]. */
    data class Invalid(val errors: List<String>) : CallError

    /** A failure of one exchange, with the [step] and the [peer] at which it arose. */
    data class Failure(val step: String, val peer: String, val reason: String)
}
