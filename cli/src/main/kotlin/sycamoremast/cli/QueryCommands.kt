/** The read-only commands: status, jobs, problems and audit. */
package sycamoremast.cli

import com.github.ajalt.clikt.parameters.options.check
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.builtins.ListSerializer
import sycamoremast.configuration.NameRule
import sycamoremast.configuration.operator.AuditView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.configuration.operator.StatusView

internal class StatusCommand :
    DaemonCommand("status", "Shows a daemon, the hosts that it knows, and its shards") {
    override fun call() {
        val view = session.client.status().orExit()
        write(view, StatusView.serializer()) { describe(view) }
    }

    private fun describe(view: StatusView) = listOf(
        summary(view),
        table(
            listOf("HOST", "ZONE", "INCARNATION", "STATE", "PEER ADDRESS"),
            view.members.map {
                listOf(it.host, it.availabilityZone, it.incarnation, it.state, it.peerAddress)
            }
        ),
        table(listOf("TEAM", "REVISION"), view.documents.map { listOf(it.team, it.revision) }),
        table(
            listOf("SHARD", "OWNER", "EPOCH", "WORKERS", "RUNNING", "WAITING"),
            view.shards.map {
                listOf(it.shard, it.owner, it.epoch, it.workers, it.runningTasks, it.waitingTasks)
            }
        )
    ).joinToString("\n\n")

    private fun summary(view: StatusView): String {
        val state = when {
            view.draining -> "draining"
            view.ready -> "ready"
            else -> "not ready: " + view.notReadyBecause.joinToString()
        }
        return "${view.host} in ${view.availabilityZone}: $state"
    }
}

internal class JobsCommand : DaemonCommand("jobs", "Lists batch jobs") {
    private val team by option("--team", help = "Only the jobs of this team")
        .check("the name ${NameRule.TEXT}", NameRule::matches)

    override fun call() {
        val jobs = session.client.jobs(team).orExit()
        write(jobs, ListSerializer(JobView.serializer())) { jobTable(jobs) }
    }
}

/** Returns [jobs] as a text table. */
internal fun jobTable(jobs: List<JobView>): String = table(
    listOf("TEAM", "JOB", "ZONE", "STATE", "FINISHED", "RUNNING", "REASON"),
    jobs.map {
        val finished = "${it.tasksFinished}/${it.tasks}"
        val running = it.tasksRunning ?: "?"
        listOf(it.team, it.job, it.availabilityZone, it.state, finished, running, it.reasonAndAge())
    }
)

private fun JobView.reasonAndAge(): String? {
    val age = viewAgeMillis?.let { "; last read $it ms ago" }.orEmpty()
    return (reason + age).ifEmpty { null }
}

internal class ProblemsCommand : DaemonCommand("problems", "Lists outcomes that were missed") {
    override fun call() {
        val problems = session.client.problems().orExit()
        write(problems, ListSerializer(ProblemView.serializer())) {
            table(
                listOf("KIND", "SUBJECT", "RAISED", "CLEARED", "BY", "EVIDENCE"),
                problems.map {
                    val raised = formatInstant(it.raisedAtMillis)
                    val cleared = it.clearedAtMillis?.let(::formatInstant)
                    listOf(it.kind, it.subject, raised, cleared, it.raisedBy, it.evidence)
                }
            )
        }
    }
}

internal class AuditCommand : DaemonCommand("audit", "Lists changes, newest first") {
    private val limit by option("--limit", help = "The most changes to list")
        .int()
        .restrictTo(1..MAX_LIMIT)
        .default(DEFAULT_LIMIT)

    override fun call() {
        val changes = session.client.audit(limit).orExit()
        write(changes, ListSerializer(AuditView.serializer())) {
            table(
                listOf("TIME", "OPERATOR", "ACTION", "SUBJECT", "FROM", "TO", "HOST"),
                changes.map {
                    val time = formatInstant(it.atMillis)
                    val change = listOf(time, it.operator, it.action, it.subject)
                    change + listOf(it.fromRevision, it.toRevision, it.host)
                }
            )
        }
    }

    private companion object {
        const val DEFAULT_LIMIT = 50
        const val MAX_LIMIT = 10_000
    }
}
