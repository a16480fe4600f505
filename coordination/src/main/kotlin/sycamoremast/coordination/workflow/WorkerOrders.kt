/**
 * Orders to workers and what they answer.
 *
 * An order carries the owner's epoch; a worker that has seen a higher one does nothing. Times named
 * `leaseEndMillis` are readings of the worker's own clock, until which everything on it may run.
 */
package sycamoremast.coordination.workflow

/** Asks [worker] to start a run of a task, going on from [checkpoint] unless that is empty. */
data class StartOrder(
    val worker: WorkerRef,
    val epoch: Long,
    val task: TaskName,
    val run: Int,
    val payload: String,
    val checkpoint: String,
    val leaseEndMillis: Long
)

/** Asks [worker] to stop a run; a run that has not come yet is rejected from then on. */
data class StopOrder(val worker: WorkerRef, val epoch: Long, val task: TaskName, val run: Int)

/** Lets a run work at [percent] of its speed. */
data class PaceOrder(
    val worker: WorkerRef,
    val epoch: Long,
    val task: TaskName,
    val run: Int,
    val percent: Int
)

/**
 * Asks [worker] for what runs and what has ended, and prolongs its lease.
 *
 * Ends up to [acknowledgedEnd] are forgotten by the worker. The answer waits up to [waitMillis] for
 * an end.
 */
data class PollOrder(
    val worker: WorkerRef,
    val epoch: Long,
    val acknowledgedEnd: Long,
    val leaseEndMillis: Long?,
    val waitMillis: Long,
    val sentMillis: Long
)

/** A worker's answer to an order. */
sealed interface WorkerAnswer {
    /** The order was carried out, at [clockMillis] of the worker's clock. */
    data class Done(val clockMillis: Long?, val receivedMillis: Long) : WorkerAnswer

    /** The worker's report on its runs. */
    data class Reported(val report: WorkerReport) : WorkerAnswer

    /** The worker did nothing. */
    data class Rejected(val reason: RejectReason) : WorkerAnswer

    /** The order may or may not have been carried out, or may be later. */
    data class Unknown(val reason: String) : WorkerAnswer
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

    /** Another life of the worker answered at this address. */
    OTHER_INCARNATION,

    /** The order never left this host. */
    NOT_SENT,

    /** The worker found the order malformed. */
    MALFORMED
}

/** What a worker runs and which ends it still keeps, at [clockMillis] of its clock. */
data class WorkerReport(
    val clockMillis: Long,
    val bornUnixMillis: Long?,
    val receivedMillis: Long,
    val running: List<RunningRow>,
    val ended: List<EndedRow>
)

/**
 * A run that is there.
 *
 * [percent] is the share that is done, or for a long-running task the share at work. [gauge] is the
 * tail of the response times in milliseconds for a serving task, else the processors in use.
 */
data class RunningRow(
    val task: TaskName,
    val run: Int,
    val checkpoint: String,
    val percent: Int,
    val gauge: Double?
)

/** An end with its [number], which grows by one with each end of a worker's life. */
data class EndedRow(
    val number: Long,
    val task: TaskName,
    val run: Int,
    val how: RunEnd,
    val checkpoint: String
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
