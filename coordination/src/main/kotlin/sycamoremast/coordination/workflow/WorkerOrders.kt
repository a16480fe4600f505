/**
 * Orders to workers and what they answer.
 *
 * An order carries the owner's epoch; a worker that has seen a higher one does nothing. Times named
 * `leaseEndMillis` are readings of the worker's own clock, until which everything on it may run.
 */
package sycamoremast.coordination.workflow

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An order to one worker; its serialized form is what entry hosts pass on for each other. */
@Serializable
sealed interface WorkerOrder {
    val worker: WorkerRef
}

/** Asks [worker] to start a run of a task, going on from [checkpoint] unless that is empty. */
@Serializable
@SerialName("start")
data class StartOrder(
    @SerialName("w") override val worker: WorkerRef,
    @SerialName("e") val epoch: Long,
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int,
    @SerialName("p") val payload: String,
    @SerialName("c") val checkpoint: String,
    @SerialName("l") val leaseEndMillis: Long
) : WorkerOrder

/** Asks [worker] to stop a run; a run that has not come yet is rejected from then on. */
@Serializable
@SerialName("stop")
data class StopOrder(
    @SerialName("w") override val worker: WorkerRef,
    @SerialName("e") val epoch: Long,
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int
) : WorkerOrder

/** Lets a run work at [percent] of its speed. */
@Serializable
@SerialName("pace")
data class PaceOrder(
    @SerialName("w") override val worker: WorkerRef,
    @SerialName("e") val epoch: Long,
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int,
    @SerialName("n") val percent: Int
) : WorkerOrder

/**
 * Asks [worker] for what runs and what has ended, and prolongs its lease.
 *
 * Ends up to [acknowledgedEnd] are forgotten by the worker; 0 acknowledges none. The answer waits up to [waitMillis] for
 * an end.
 */
@Serializable
@SerialName("poll")
data class PollOrder(
    @SerialName("w") override val worker: WorkerRef,
    @SerialName("e") val epoch: Long,
    @SerialName("a") val acknowledgedEnd: Long,
    @SerialName("l") val leaseEndMillis: Long?,
    @SerialName("m") val waitMillis: Long,
    @SerialName("s") val sentMillis: Long
) : WorkerOrder

/** A worker's answer to an order. */
@Serializable
sealed interface WorkerAnswer {
    /** The order was carried out, at [clockMillis] of the worker's clock. */
    @Serializable
    @SerialName("done")
    data class Done(
        @SerialName("c") val clockMillis: Long?,
        @SerialName("r") val receivedMillis: Long
    ) : WorkerAnswer

    /** The worker's report on its runs. */
    @Serializable
    @SerialName("report")
    data class Reported(@SerialName("r") val report: WorkerReport) : WorkerAnswer

    /** The worker did nothing. */
    @Serializable
    @SerialName("no")
    data class Rejected(@SerialName("r") val reason: RejectReason) : WorkerAnswer

    /** The order may or may not have been carried out, or may be later. */
    @Serializable
    @SerialName("lost")
    data class Unknown(@SerialName("r") val reason: String) : WorkerAnswer
}

/** Why a worker did nothing. */
enum class RejectReason {
    /** It has seen a higher epoch. */
    STALE_EPOCH,

    /** It has stopped or ended this run or a later one. */
    STALE_RUN,

    /** The lease that the order gave had already ended. */
    LATE,

    /** The task doesn't fit beside what runs there. */
    NO_ROOM,

    /** The order lacked a valid ticket. */
    NO_TICKET,

    /** The worker is unhealthy or overloaded. */
    UNHEALTHY,

    /** Another incarnation of the worker answered at this address. */
    OTHER_INCARNATION,

    /** The order never left this host, as the worker could not be reached. */
    NOT_SENT,

    /** The order never left this host, as too many others had not been answered yet. */
    CONGESTED,

    /** The worker found the order malformed. */
    MALFORMED
}

/** What a worker runs and which ends it still keeps, at [clockMillis] of its clock. */
@Serializable
data class WorkerReport(
    @SerialName("c") val clockMillis: Long,
    @SerialName("b") val startedUnixMillis: Long?,
    @SerialName("r") val receivedMillis: Long,
    @SerialName("n") val running: List<RunningRow>,
    @SerialName("e") val ended: List<EndedRow>
)

/**
 * A run that is there.
 *
 * [percent] is the share that is done, or for a long-running task the share at work. [gauge] is the
 * tail of the response times in milliseconds for a serving task, else the processors in use.
 */
@Serializable
data class RunningRow(
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int,
    @SerialName("c") val checkpoint: String,
    @SerialName("p") val percent: Int,
    @SerialName("g") val gauge: Double?
)

/** An end with its [number], which grows by one with each end of an incarnation. */
@Serializable
data class EndedRow(
    @SerialName("n") val number: Long,
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int,
    @SerialName("h") val how: RunEnd,
    @SerialName("c") val checkpoint: String
)

/** How a run ended. */
enum class RunEnd {
    DONE,
    FAILED,
    STOPPED,

    /** The worker's lease lapsed. */
    LAPSED,

    /** Another member of its gang ended. */
    BROKEN,

    /** Its gang was not whole in time. */
    ALONE
}
