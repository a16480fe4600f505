/** The operations that a daemon offers to operators, independent of HTTP. */
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

/** The operations that operators can call on a daemon. */
internal interface OperatorActions {
    /** Returns the state of this daemon and its view of the others. */
    fun status(): StatusView

    /** Returns the configuration of [team] in force on this host, or null if it has none. */
    fun document(team: String): DocumentView?

    /** Submits [text] as the configuration of [team], based on [fromRevision]. */
    fun submit(team: String, fromRevision: Long, text: String, operator: String): SubmissionResult

    /** Returns where [revision] of [team] is in force, once on all live hosts or at the timeout. */
    fun confirmations(team: String, revision: Long, timeoutMillis: Long): ConfirmationView

    /** Returns the jobs of [team], or of all teams if it is null. */
    fun jobs(team: String?): Either<ErrorView, List<JobView>>

    /** Cancels [job] of [team]; the cancellation is durable when this returns a job. */
    fun cancel(team: String, job: String, operator: String): Either<ErrorView, JobView>

    /** Starts the graceful shutdown of this daemon. */
    fun drain(operator: String): DrainView

    /** Returns the problems known on this host, open ones first. */
    fun problems(): List<ProblemView>

    /** Returns the latest [limit] entries of the audit trail, newest first. */
    fun audit(limit: Int): Either<ErrorView, List<AuditView>>
}

/** The result of submitting a configuration. */
internal sealed interface SubmissionResult {
    /** The configuration is accepted and durable. */
    data class Accepted(val view: SubmitView) : SubmissionResult

    /** Another change, [current], was accepted first. */
    data class LostRace(val current: DocumentView) : SubmissionResult

    /** The configuration has errors and was rejected. */
    data class Invalid(val view: InvalidView) : SubmissionResult

    /** The configuration was not accepted, or its outcome is unknown if [error] says so. */
    data class Failed(val error: ErrorView) : SubmissionResult
}
