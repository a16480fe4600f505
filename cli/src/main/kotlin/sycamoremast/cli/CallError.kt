/** The ways in which a call to the daemons can fail. */
package sycamoremast.cli

import sycamoremast.configuration.operator.DocumentView
import sycamoremast.configuration.operator.ErrorView

/** A failed call to the daemons. */
internal sealed interface CallError {
    /** Whether the call may be repeated on another daemon without taking effect twice. */
    val allowsFailover: Boolean
        get() = false

    /** No daemon could be reached or, for a read, responded; [failures] has one entry per peer. */
    data class NotReached(val failures: List<Failure>) : CallError {
        constructor(step: String, peer: String, reason: String) :
            this(listOf(Failure(step, peer, reason)))

        override val allowsFailover get() = true

        fun merge(other: NotReached) = NotReached(failures + other.failures)
    }

    /** The call may or may not have taken effect. */
    data class OutcomeUnknown(val step: String, val peer: String, val reason: String) : CallError

    /** The daemon did not execute the call; another daemon may, if the error is [retryable]. */
    data class Refused(val error: ErrorView, val retryable: Boolean) : CallError {
        override val allowsFailover get() = retryable
    }

    /** The team or job that the call names does not exist. */
    data class NotFound(val error: ErrorView) : CallError

    /** The change is based on a stale revision; [other] was accepted in the meantime. */
    data class LostRace(val other: DocumentView) : CallError

    /** The configuration has [errors]. */
    data class Invalid(val errors: List<String>) : CallError

    /** The failure of one HTTP exchange, with the [step] and the [peer] at which it occurred. */
    data class Failure(val step: String, val peer: String, val reason: String)
}
