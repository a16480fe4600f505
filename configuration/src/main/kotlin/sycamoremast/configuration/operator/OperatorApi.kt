/**
 * The JSON bodies of the daemon's HTTP API for operators.
 *
 * | request | response |
 * |---|---|
 * | GET /v1/status | [StatusView] |
 * | GET /v1/teams/{team}/configuration | [DocumentView], or 404 [ErrorView] |
 * | PUT /v1/teams/{team}/configuration?from=N, INI body, X-Operator header | 200 [SubmitView], 409 [DocumentView] of the conflicting change, 422 [InvalidView], 503 [ErrorView] |
 * | GET /v1/teams/{team}/confirmations?revision=N&timeoutMillis=T | [ConfirmationView] |
 * | GET /v1/jobs?team=T | list of [JobView] |
 * | POST /v1/jobs/{team}/{job}/cancel, X-Operator header | [JobView], 404 or 503 [ErrorView] |
 * | POST /v1/drain | 202 [DrainView] |
 * | GET /v1/problems | list of [ProblemView] |
 * | GET /v1/audit?limit=N | list of [AuditView], newest first |
 *
 * A malformed request gets 400 [ErrorView]. Where the outcome of a call is unknown, the status is
 * 504 instead of 503.
 *
 * Times are wall-clock milliseconds since the Unix epoch. Fields may be added; readers ignore
 * unknown fields.
 */
package sycamoremast.configuration.operator

import kotlinx.serialization.Serializable

/** The state of the responding daemon, and its view of the others. */
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

/** An entry host as seen by the responding one; [state] is live, suspect or gone. */
@Serializable
data class MemberView(
    val host: String,
    val availabilityZone: String,
    val incarnation: Long,
    val state: String,
    val peerAddress: String
)

/** The [revision] of a team's configuration that is in force on the responding host. */
@Serializable
data class RevisionView(val team: String, val revision: Long)

/** A shard of workers with its owner, its size and its load. */
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

/** All errors of a configuration that was rejected. */
@Serializable
data class InvalidView(val errors: List<String>)

/** The hosts on which a revision is in force, and those that did not confirm it. */
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
 * An unconfirmed job is an open job whose owner did not report its state; [reason] says why. The
 * shown state was read [viewAgeMillis] ago, or never if that is null. [tasksRunning] is null if
 * unknown.
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

/** The responding daemon has begun its graceful shutdown. */
@Serializable
data class DrainView(val host: String, val requestsInProgress: Int)

/**
 * A job or request that missed its required outcome; [kind] is late, lost, doubled, unknown or
 * given_up.
 */
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

/** An entry of the audit trail: a change with its author, time and revisions. */
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

/** A failed call, with the [step] and the [peer] at which it failed. */
@Serializable
data class ErrorView(
    val step: String,
    val peer: String,
    val reason: String,
    val retryAfterMillis: Long? = null,
    val outcomeUnknown: Boolean = false
)
