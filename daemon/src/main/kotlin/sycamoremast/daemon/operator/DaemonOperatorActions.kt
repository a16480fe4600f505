/** The operators' actions, carried out by the parts of the daemon. */
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

/** Carries out operators' calls on this daemon; [readiness] gives the reasons not to serve. */
internal class DaemonOperatorActions(
    private val control: ControlPlane,
    private val batch: BatchScheduler,
    private val requests: RequestPath,
    private val readiness: () -> List<String>,
    private val beginDrain: () -> Unit
) : OperatorActions {
    override fun status(): StatusView {
        val self = control.membership.self
        val reasons = readiness()
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
    ): Submission {
        val impossible = whyJobsNeverRun(team, text)
        if (impossible.isNotEmpty()) return Submission.Invalid(InvalidView(impossible))
        return when (val outcome = control.replica.submit(team, fromRevision, text, operator)) {
            is SubmitOutcome.Accepted -> accepted(team, outcome)
            is SubmitOutcome.LostRace -> lostRace(team, outcome)
            is SubmitOutcome.Invalid -> Submission.Invalid(InvalidView(outcome.errors))
            is SubmitOutcome.Failed -> failed(outcome)
        }
    }

    /** Returns why jobs that are new in [text] could never run on the listed workers. */
    private fun whyJobsNeverRun(team: String, text: String): List<String> {
        val submitted = TeamConfiguration.parseOrNull(text) ?: return emptyList()
        val inForce = control.replica.inForce()[team]?.configuration?.jobs.orEmpty()
        val known = inForce.mapTo(HashSet()) { it.name }
        return submitted.jobs.filter { it.name !in known }.mapNotNull { job ->
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
        Submission.Accepted(SubmitView(team, outcome.revision, outcome.changed))

    private fun lostRace(team: String, outcome: SubmitOutcome.LostRace): Submission {
        val none = DocumentView(team, revision = 0, text = "", operator = "", atMillis = 0)
        return Submission.LostRace(outcome.current ?: none)
    }

    private fun failed(outcome: SubmitOutcome.Failed): Submission {
        val error = ErrorView(
            step = outcome.step,
            peer = outcome.peer,
            reason = outcome.reason,
            retryAfterMillis = RETRY_SUBMIT_AFTER_MILLIS,
            outcomeUnknown = outcome.outcomeUnknown
        )
        return Submission.Failed(error)
    }

    companion object {
        /** The reason not to serve that a graceful shutdown gives. */
        const val DRAINING = "draining"
    }
}

private fun Member.toView() =
    MemberView(host, availabilityZone, incarnation, state.name.lowercase(), peerAddress)
