/**
 * The port to the platform's workers.
 *
 * A worker is the authoritative record of the tasks that run on it. All its tasks run under one
 * lease that the owner of the shard renews. The worker rejects every call with a lower epoch than
 * the highest it has seen, stops its tasks when the lease lapses, and keeps the result of a task
 * until the owner acknowledges it.
 *
 * A lease is measured from a reading of the worker's own clock: each answer carries
 * [WorkerReport.clockMillis], and the next renewal sends it back as
 * [LeaseRenewal.echoMillis]. The lease then ends [LeaseRenewal.ttlMillis] after that reading, so
 * that a renewal that is delayed in transit, or sent after a pause, does not extend the lease.
 */
package sycamoremast.coordination

import arrow.core.Either
import kotlinx.serialization.Serializable

/** Access to one worker. */
interface WorkerPort {
    /** Renews the lease by [renewal] and returns the worker's report. */
    fun renew(renewal: LeaseRenewal): Either<WorkerError, WorkerReport>

    /** Starts the task of [order], or confirms that it is already running on this worker. */
    fun start(order: StartOrder): Either<WorkerError, TaskReport>

    /** Asks the worker to apply [action] to the task [taskId]. */
    fun control(taskId: String, epoch: Long, action: TaskAction): Either<WorkerError, TaskReport>
}

/** An action that an owner can request for a running task. */
@Serializable
enum class TaskAction { CHECKPOINT, THROTTLE, UNTHROTTLE, STOP }

/** Renews the lease of the owner with [epoch]; [acknowledged] results may be discarded. */
@Serializable
data class LeaseRenewal(
    val owner: String,
    val epoch: Long,
    val ttlMillis: Long,
    val echoMillis: Long,
    val acknowledged: List<String> = emptyList()
)

/** Starts a task, from the checkpoint [resumeFrom] if there is one. */
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

/** The phase of a task on its worker. */
@Serializable
enum class TaskPhase { RUNNING, FINISHED, FAILED, STOPPED }

/** A worker's report on one task. */
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

/** A worker's report on itself; [incarnation] changes whenever the worker restarts. */
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

    /** The call is known to have had no effect. */
    data class NotSent(override val step: String, override val peer: String, val reason: String) :
        WorkerError

    /** The call may or may not have taken effect. */
    data class AnswerLost(
        override val step: String,
        override val peer: String,
        val reason: String
    ) : WorkerError

    /** The worker has seen the higher epoch [current]: the caller is no longer the owner. */
    data class StaleEpoch(override val step: String, override val peer: String, val current: Long) :
        WorkerError

    /** The worker refused the call, which had no effect. */
    data class Refused(override val step: String, override val peer: String, val reason: String) :
        WorkerError
}
