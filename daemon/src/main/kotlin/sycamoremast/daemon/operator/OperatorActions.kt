/** What operators may ask of a daemon, apart from how it is carried over HTTP. */
package sycamoremast.daemon.operator

import arrow.core.Either
import sycamoremast.configuration.operator.AuditView
import sycamoremast.configuration.operator.ConfirmationView
import sycamoremast.configuration.operator.DocumentView
import sycamoremast.configuration.operator.DrainView
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.configuration.operator.InvalidView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.configuration.operator.StatusView
import sycamoremast.configuration.operator.SubmitView

/** The operators' side of a daemon. */
internal interface OperatorActions {
    /** Returns the state of this daemon and what it knows of the others. */
    fun status(): StatusView

    /** Returns the configuration of [team] in force here, or null if it has none. */
    fun document(team: String): DocumentView?

    /** Returns what became of submitting [text] for [team] on top of [fromRevision]. */
    fun submit(team: String, fromRevision: Long, text: String, operator: String): Submission

    /** Returns on which live hosts [revision] of [team] is in force after [timeoutMillis]. */
    fun confirmations(team: String, revision: Long, timeoutMillis: Long): ConfirmationView

    /** Returns the jobs of [team], or of all teams. */
    fun jobs(team: String?): Either<ErrorView, List<JobView>>

    /** Cancels [job] of [team]; the cancellation is durable when this returns a job. */
    fun cancel(team: String, job: String, operator: String): Either<ErrorView, JobView>

    /** Begins the graceful shutdown of this daemon. */
    fun drain(operator: String): DrainView

    /** Returns the problems known here, open ones first. */
    fun problems(): List<ProblemView>

    /** Returns the newest [limit] changes, newest first. */
    fun audit(limit: Int): Either<ErrorView, List<AuditView>>
}

/** What became of a submitted configuration. */
internal sealed interface Submission {
    /** It is accepted and durable. */
    data class Accepted(val view: SubmitView) : Submission

    /** Another change came first; it is [current]. */
    data class LostRace(val current: DocumentView) : Submission

    /** It has errors and was not accepted. */
    data class Invalid(val view: InvalidView) : Submission

    /** It was not accepted, or, where the error says so, its outcome is unknown. */
    data class Failed(val error: ErrorView) : Submission
}
