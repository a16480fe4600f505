/**
 * Orders to workers and their answers.
 *
 * An order carries a fencing token: a worker that has seen a higher one rejects it. Tokens of later
 * epochs are higher, and so are those of later orders to a worker that may have restarted. A
 * `leaseEndMillis` is a time on the worker's own clock; runs on the worker end when it passes.
 */
package sycamoremast.coordination.workflow

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An order to one worker, which entry hosts relay for each other in its serialized form. */
@Serializable
sealed interface WorkerOrder {
    val worker: WorkerRef
    val fencingToken: Long
}

/** Asks [worker] to start a run of a task, from [checkpoint] unless that is empty. */
@Serializable
@SerialName("start")
data class StartOrder(
    @SerialName("w") override val worker: WorkerRef,
    @SerialName("e") override val fencingToken: Long,
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int,
    @SerialName("p") val payload: String,
    @SerialName("c") val checkpoint: String,
    @SerialName("l") val leaseEndMillis: Long
) : WorkerOrder

/** Asks [worker] to stop a run and to reject any later order to start it. */
@Serializable
@SerialName("stop")
data class StopOrder(
    @SerialName("w") override val worker: WorkerRef,
    @SerialName("e") override val fencingToken: Long,
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int
) : WorkerOrder

/** Asks [worker] to let a run work at [percent] of full speed. */
@Serializable
@SerialName("pace")
data class PaceOrder(
    @SerialName("w") override val worker: WorkerRef,
    @SerialName("e") override val fencingToken: Long,
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int,
    @SerialName("n") val percent: Int
) : WorkerOrder

/**
 * Asks [worker] for a report of its runs and their ends, and extends its lease.
 *
 * The worker discards ends up to number [acknowledgedEnd]; 0 acknowledges none. It delays the
 * answer by up to [waitMillis] until a run ends.
 */
@Serializable
@SerialName("poll")
data class PollOrder(
    @SerialName("w") override val worker: WorkerRef,
    @SerialName("e") override val fencingToken: Long,
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

    /** The worker sent a report of its runs. */
    @Serializable
    @SerialName("report")
    data class Reported(@SerialName("r") val report: WorkerReport) : WorkerAnswer

    /** The order had no effect. */
    @Serializable
    @SerialName("no")
    data class Rejected(@SerialName("r") val reason: RejectReason) : WorkerAnswer

    /** It is unknown whether the order was carried out or will be carried out later. */
    @Serializable
    @SerialName("lost")
    data class Unknown(@SerialName("r") val reason: String) : WorkerAnswer
}

/** The reason why an order had no effect. */
@Serializable
enum class RejectReason {
    /** The worker has seen a higher fencing token. */
    @SerialName("STALE_EPOCH")
    STALE_TOKEN,

    /** This run or a later one was stopped or has ended on the worker. */
    STALE_RUN,

    /** The lease that the order granted had already ended. */
    LATE,

    /** The task doesn't fit beside the other runs on the worker. */
    NO_ROOM,

    /** The order lacked a valid ticket. */
    NO_TICKET,

    /** The worker is unhealthy or overloaded. */
    UNHEALTHY,

    /** Another incarnation of the worker answered at this address. */
    OTHER_INCARNATION,

    /** The order was not sent, as the worker could not be reached. */
    NOT_SENT,

    /** The order was not sent, as too many others were in flight. */
    CONGESTED,

    /** The order was not sent, as its worker has left others unanswered. */
    WORKER_SILENT,

    /** The worker found the order malformed. */
    MALFORMED
}

/** The runs of a worker and the unacknowledged ends, at [clockMillis] of its clock. */
@Serializable
data class WorkerReport(
    @SerialName("c") val clockMillis: Long,
    @SerialName("b") val startedUnixMillis: Long?,
    @SerialName("r") val receivedMillis: Long,
    @SerialName("n") val running: List<RunningRow>,
    @SerialName("e") val ended: List<EndedRow>
) {
    /** Whether the worker may have more ends, which it shows once these are acknowledged. */
    val mayOmitEnds: Boolean get() = ended.size >= MAX_ENDS

    private companion object {
        /** The platform's protocol limits a report to this number of ends. */
        const val MAX_ENDS = 500
    }
}

/**
 * A run that is in progress on a worker.
 *
 * [percent] is its progress or, for a long-running task, the share of it that is working. [gauge]
 * is the tail latency in milliseconds for a serving task, otherwise the CPU in use.
 */
@Serializable
data class RunningRow(
    @SerialName("t") val task: TaskName,
    @SerialName("r") val run: Int,
    @SerialName("c") val checkpoint: String,
    @SerialName("p") val percent: Int,
    @SerialName("g") val gauge: Double?
)

/** The end of a run. The ends of a worker's incarnation are numbered consecutively from 1. */
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

    /** Not all members of its gang started in time. */
    ALONE
}
