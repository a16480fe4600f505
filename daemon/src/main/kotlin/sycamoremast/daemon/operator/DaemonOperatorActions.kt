/** The implementation of the operators' actions on top of the daemon's components. */
package sycamoremast.daemon.operator

import arrow.core.Either
import arrow.core.right
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.configuration.operator.AuditView
import sycamoremast.configuration.operator.DocumentView
import sycamoremast.configuration.operator.DrainView
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.configuration.operator.InvalidView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.MemberView
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.configuration.operator.RevisionView
import sycamoremast.configuration.operator.StatusView
import sycamoremast.configuration.operator.SubmitView
import sycamoremast.daemon.ControlPlane
import sycamoremast.daemon.batch.BatchScheduler
import sycamoremast.daemon.control.AuditedChange
import sycamoremast.daemon.control.Member
import sycamoremast.daemon.control.SubmitOutcome
import sycamoremast.daemon.request.RequestPath

private const val RETRY_SUBMIT_AFTER_MILLIS = 1_000L

/** Executes operators' calls; [notReadyReasons] is empty while this daemon can serve requests. */
internal class DaemonOperatorActions(
    private val control: ControlPlane,
    private val batch: BatchScheduler,
    private val requests: RequestPath,
    private val notReadyReasons: () -> List<String>,
    private val beginDrain: () -> Unit
) : OperatorActions {
    override fun status(): StatusView {
        val self = control.membership.self
        val reasons = notReadyReasons()
        return StatusView(
            host = self.host,
            availabilityZone = self.availabilityZone,
            incarnation = self.incarnation,
            ready = reasons.isEmpty(),
            notReadyBecause = reasons,
            draining = DRAINING in reasons,
            members = control.membership.members().map { it.toView() },
            documents = control.replica.inForce().values.map { RevisionView(it.team, it.revision) },
            shards = batch.shards()
        )
    }

    override fun document(team: String): DocumentView? = control.replica.document(team)

    override fun submit(
        team: String,
        fromRevision: Long,
        text: String,
        operator: String
    ): SubmissionResult {
        val errors = unschedulableJobErrors(team, text)
        if (errors.isNotEmpty()) return SubmissionResult.Invalid(InvalidView(errors))
        return when (val outcome = control.replica.submit(team, fromRevision, text, operator)) {
            is SubmitOutcome.Accepted -> accepted(team, outcome)
            is SubmitOutcome.LostRace -> lostRace(team, outcome)
            is SubmitOutcome.Invalid -> SubmissionResult.Invalid(InvalidView(outcome.errors))
            is SubmitOutcome.Failed -> failed(outcome)
        }
    }

    /** Returns an error for each job that is new in [text] and can never fit any listed worker. */
    private fun unschedulableJobErrors(team: String, text: String): List<String> {
        val submitted = TeamConfiguration.parseOrNull(text) ?: return emptyList()
        val inForce = control.replica.inForce()[team]?.configuration?.jobs.orEmpty()
        val knownJobs = inForce.mapTo(HashSet()) { it.name }
        return submitted.jobs.filter { it.name !in knownJobs }.mapNotNull { job ->
            val reason = batch.unschedulableReason(team, job, submitted.quota)
            reason?.let { "job ${job.name} can never run: $it" }
        }
    }

    override fun confirmations(team: String, revision: Long, timeoutMillis: Long) =
        control.replica.confirmations(team, revision, timeoutMillis)

    override fun jobs(team: String?): Either<ErrorView, List<JobView>> = batch.jobs(team).right()

    override fun cancel(team: String, job: String, operator: String): Either<ErrorView, JobView> =
        batch.cancel(team, job, operator)

    override fun drain(operator: String): DrainView {
        val host = control.membership.self.host
        control.audit.record(AuditedChange(operator, "drain", host, 0, 0))
        val view = DrainView(host, requests.inProgress())
        beginDrain()
        return view
    }

    override fun problems(): List<ProblemView> = control.problems.list()

    override fun audit(limit: Int): Either<ErrorView, List<AuditView>> =
        control.audit.list(limit, control.replica.documents())

    private fun accepted(team: String, outcome: SubmitOutcome.Accepted) =
        SubmissionResult.Accepted(SubmitView(team, outcome.revision, outcome.changed))

    private fun lostRace(team: String, outcome: SubmitOutcome.LostRace): SubmissionResult {
        val none = DocumentView(team, revision = 0, text = "", operator = "", atMillis = 0)
        return SubmissionResult.LostRace(outcome.current ?: none)
    }

    private fun failed(outcome: SubmitOutcome.Failed): SubmissionResult {
        val error = ErrorView(
            step = outcome.step,
            peer = outcome.peer,
            reason = outcome.reason,
            retryAfterMillis = RETRY_SUBMIT_AFTER_MILLIS,
            outcomeUnknown = outcome.outcomeUnknown
        )
        return SubmissionResult.Failed(error)
    }

    companion object {
        /** The reason for not being ready during a graceful shutdown. */
        const val DRAINING = "draining"
    }
}

private fun Member.toView() =
    MemberView(host, availabilityZone, incarnation, state.name.lowercase(), peerAddress)
