/**
 * The port to the platform's workers.
 *
 * A worker is the record of what runs on it. It holds its tasks under one lease of the shard's
 * owner, refuses every call with a lower epoch than the highest it has seen, stops its tasks when
 * the lease lapses, and keeps the result of a task until the owner acknowledges it.
 *
 * A lease is measured from a reading of the worker's own clock: each answer carries
 * [WorkerReport.clockMillis], and the next renewal sends it back as
 * [LeaseRenewal.echoMillis]. The lease then ends [LeaseRenewal.ttlMillis] after that reading, so
 * that a renewal delayed on its way, or sent after a pause, grants nothing.
 */
package sycamoremast.coordination

import arrow.core.Either
import kotlinx.serialization.Serializable

/** Access to one worker. */
interface WorkerPort {
    /** Returns the worker's report after it has taken [renewal]. */
    fun renew(renewal: LeaseRenewal): Either<WorkerError, WorkerReport>

    /** Starts [order], or confirms that this very task already runs here. */
    fun start(order: StartOrder): Either<WorkerError, TaskReport>

    /** Asks the worker to do [action] to the task [taskId]. */
    fun control(taskId: String, epoch: Long, action: TaskAction): Either<WorkerError, TaskReport>
}

/** What an owner may ask of a running task. */
@Serializable
enum class TaskAction { CHECKPOINT, THROTTLE, UNTHROTTLE, STOP }

/** Renews the lease of the owner with [epoch]; [acknowledged] results may be forgotten. */
@Serializable
data class LeaseRenewal(
    val owner: String,
    val epoch: Long,
    val ttlMillis: Long,
    val echoMillis: Long,
    val acknowledged: List<String> = emptyList()
)

/** Starts a task; [resumeFrom] is the checkpoint to go on from, if any. */
@Serializable
data class StartOrder(
    val taskId: String,
    val attempt: Int,
    val epoch: Long,
    val resources: Resources,
    val workMillis: Long,
    val resumeFrom: Checkpoint? = null,
    val command: String = ""
)

/** A saved state of a task, after [doneMillis] of its work. */
@Serializable
data class Checkpoint(val sequence: Long, val doneMillis: Long)

/** Where a task stands on its worker. */
@Serializable
enum class TaskPhase { RUNNING, FINISHED, FAILED, STOPPED }

/** A worker's account of one task. */
@Serializable
data class TaskReport(
    val taskId: String,
    val attempt: Int,
    val epoch: Long,
    val phase: TaskPhase,
    val resources: Resources,
    val checkpoint: Checkpoint? = null,
    val throttled: Boolean = false,
    val result: String? = null,
    val usage: Resources = Resources.NONE
)

/** A worker's account of itself; [incarnation] changes whenever the worker restarts. */
@Serializable
data class WorkerReport(
    val worker: String,
    val incarnation: String,
    val epoch: Long,
    val clockMillis: Long,
    val leaseRemainingMillis: Long,
    val capacity: Resources,
    val rack: String,
    val tasks: List<TaskReport>
)

/** A failed call on a worker, with the [step] and the [peer] at which it failed. */
sealed interface WorkerError {
    val step: String
    val peer: String

    /** The call certainly had no effect. */
    data class NotSent(override val step: String, override val peer: String, val reason: String) :
        WorkerError

    /** The call may or may not have taken effect. */
    data class AnswerLost(
        override val step: String,
        override val peer: String,
        val reason: String
    ) : WorkerError

    /** The worker has seen a higher epoch, [current]: the caller is no longer the owner. */
    data class StaleEpoch(override val step: String, override val peer: String, val current: Long) :
        WorkerError

    /** The worker refused the call; nothing of it took effect. */
    data class Refused(override val step: String, override val peer: String, val reason: String) :
        WorkerError
}
