/**
 * The JSON bodies between the operators' tool and a daemon.
 *
 * | call | answer |
 * |---|---|
 * | GET /v1/status | [StatusView] |
 * | GET /v1/teams/{team}/configuration | [DocumentView], or 404 [ErrorView] |
 * | PUT /v1/teams/{team}/configuration?from=N, INI body, X-Operator header | 200 [SubmitView], 409 [DocumentView] of the other change, 422 [InvalidView], 503 [ErrorView] |
 * | GET /v1/teams/{team}/confirmations?revision=N&timeoutMillis=T | [ConfirmationView] |
 * | GET /v1/jobs?team=T | list of [JobView] |
 * | POST /v1/jobs/{team}/{job}/cancel, X-Operator header | [JobView], 404 or 503 [ErrorView] |
 * | POST /v1/drain | 202 [DrainView] |
 * | GET /v1/problems | list of [ProblemView] |
 * | GET /v1/audit?limit=N | list of [AuditView], newest first |
 *
 * Times are wall-clock milliseconds since the epoch. Fields may be added; readers ignore those
 * that they do not know.
 */
package sycamoremast.configuration.operator

import kotlinx.serialization.Serializable

/** The state of the daemon that answers, and what it knows of the others. */
@Serializable
data class StatusView(
    val host: String,
    val availabilityZone: String,
    val incarnation: Long,
    val ready: Boolean,
    val notReadyBecause: List<String> = emptyList(),
    val draining: Boolean = false,
    val members: List<MemberView> = emptyList(),
    val documents: List<RevisionView> = emptyList(),
    val shards: List<ShardView> = emptyList()
)

/** An entry host as seen by the answering one; [state] is live, suspect or gone. */
@Serializable
data class MemberView(
    val host: String,
    val availabilityZone: String,
    val incarnation: Long,
    val state: String,
    val peerAddress: String
)

/** The [revision] of a team's configuration that is in force on the answering host. */
@Serializable
data class RevisionView(val team: String, val revision: Long)

/** A shard of workers, its owner and what it runs. */
@Serializable
data class ShardView(
    val shard: String,
    val owner: String,
    val epoch: Long,
    val workers: Int,
    val runningTasks: Int,
    val waitingTasks: Int
)

/** A team's accepted configuration. */
@Serializable
data class DocumentView(
    val team: String,
    val revision: Long,
    val text: String,
    val operator: String,
    val atMillis: Long
)

/** An accepted submission. */
@Serializable
data class SubmitView(val team: String, val revision: Long, val changed: Boolean = true)

/** A configuration that was not accepted, with all its errors. */
@Serializable
data class InvalidView(val errors: List<String>)

/** The hosts on which a revision is in force, and those that could not be confirmed. */
@Serializable
data class ConfirmationView(
    val team: String,
    val revision: Long,
    val inForce: List<String>,
    val unconfirmed: List<String>
)

/**
 * A batch job; [state] is accepted, running, finished, failed, cancelled, unknown or unconfirmed.
 *
 * Unconfirmed is an open job whose owner did not tell how it stands, because of [reason]. What is
 * shown was read [viewAgeMillis] ago, null if never; [tasksRunning] is null if it is not known.
 */
@Serializable
data class JobView(
    val team: String,
    val job: String,
    val availabilityZone: String,
    val state: String,
    val tasks: Int,
    val tasksFinished: Int,
    val tasksRunning: Int? = 0,
    val reason: String = "",
    val viewAgeMillis: Long? = null
)

/** The answering daemon has begun its graceful shutdown. */
@Serializable
data class DrainView(val host: String, val requestsInProgress: Int)

/** An outcome that was missed; [kind] is late, lost, doubled or unknown. */
@Serializable
data class ProblemView(
    val id: String,
    val kind: String,
    val subject: String,
    val evidence: String,
    val raisedBy: String,
    val raisedAtMillis: Long,
    val clearedAtMillis: Long? = null
)

/** A change: who made it, what it was, when, and from which revision to which. */
@Serializable
data class AuditView(
    val atMillis: Long,
    val operator: String,
    val action: String,
    val subject: String,
    val fromRevision: Long,
    val toRevision: Long,
    val host: String
)

/** A call that was not carried out, with the step and the peer at which it failed. */
@Serializable
data class ErrorView(
    val step: String,
    val peer: String,
    val reason: String,
    val retryAfterMillis: Long? = null,
    val outcomeUnknown: Boolean = false
)
