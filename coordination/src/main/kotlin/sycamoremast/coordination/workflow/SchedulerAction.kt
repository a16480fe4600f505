/** The actions that the scheduler asks its caller to carry out. */
package sycamoremast.coordination.workflow

/** An action of the scheduler. Actions are to be begun in the order in which they are returned. */
sealed interface SchedulerAction {
    /** Send [order]; the answer goes to [WorkflowScheduler.onStartAnswer]. */
    data class Start(val order: StartOrder) : SchedulerAction

    /** Send [order]; the answer goes to [WorkflowScheduler.onStopAnswer]. */
    data class Stop(val order: StopOrder) : SchedulerAction

    /** Send [order]; the answer goes to [WorkflowScheduler.onPollAnswer]. */
    data class Poll(val order: PollOrder) : SchedulerAction

    /** Send [order]; the answer goes to [WorkflowScheduler.onPaceAnswer]. */
    data class Pace(val order: PaceOrder) : SchedulerAction

    /** Make [batch] durable; the outcome goes to [WorkflowScheduler.onBatchDurable]. */
    data class Record(val batch: RecordBatch) : SchedulerAction

    /** A message to other hosts. */
    sealed interface ToStandbys : SchedulerAction

    /**
     * Announce the heartbeat [number] of the owner of [epoch] to [standbys]; each acknowledgement
     * goes to [Succession.onHeartbeatAcknowledged].
     *
     * Limits of the workers [liftedLimits] in rosters that were formed so far may no longer hold.
     */
    data class Announce(
        val epoch: Long,
        val number: Long,
        val standbys: Set<HostProcess>,
        val liftedLimits: Set<String> = emptySet()
    ) : ToStandbys

    /**
     * Ask [standbys] when they last acknowledged a heartbeat of the owner of [lastEpoch], and the
     * host of that owner, [lastOwner] if known, when it ended. The owner of [epoch] succeeds it. Each
     * answer goes to [Succession.onStandbyAnswered].
     */
    data class AskStandbys(
        val epoch: Long,
        val lastEpoch: Long,
        val standbys: Set<HostProcess>,
        val lastOwner: String?
    ) : ToStandbys

    /** Give up ownership, as [worker] has seen a higher epoch. */
    data class Depose(val worker: WorkerRef) : SchedulerAction

    /** Write [event] to the log. */
    data class Log(val event: SchedulerEvent) : SchedulerAction
}

/**
 * The records to write in one transaction; a null [roster], [waiting] or [interference] has not
 * changed.
 *
 * [waiting] is the number of workflows without a started task, by queue. [leasesLeft],
 * [recordsPlaces], [standbys], [lastAnnounced], [unknown] and [incarnations] go with the roster. If
 * [isHeartbeat], the transaction also shows other hosts that the owner is at work.
 *
 * All records of [forgotten] workflows are deleted.
 */
data class RecordBatch(
    val progress: Map<String, WorkflowProgress>,
    val roster: List<WorkerRef>?,
    val waiting: Map<String, Int>?,
    val leasesLeft: LeasesLeft = LeasesLeft.NONE,
    val interference: InterferenceRecord? = null,
    val isHeartbeat: Boolean = false,
    val recordsPlaces: Boolean = false,
    val standbys: Set<HostProcess> = emptySet(),
    val lastAnnounced: Long = 0,
    val forgotten: List<ForgottenWorkflow> = emptyList(),
    val unknown: UnknownOwner? = null,
    val incarnations: Map<String, Long> = emptyMap()
) {
    /** Returns the roster to record as [version] by the owner on [host], or null if unchanged. */
    fun rosterRecordOrNull(version: RecordVersion, host: String): RosterRecord? = roster?.let {
        RosterRecord(
            it,
            version.epoch,
            leasesLeft.fixed,
            leasesLeft.draining,
            version.batch,
            recordsPlaces,
            standbys,
            lastAnnounced,
            host,
            needsWorkers = true,
            quorum = AcceptingWorkers.quorum(it.size),
            unknown = unknown,
            strayLeasesLeft = leasesLeft.stray.ifEmpty { null },
            incarnations = incarnations.ifEmpty { null }
        )
    }

    companion object {
        /** The most entries of a transaction, conditions included, that the platform's store takes. */
        const val MAX_TRANSACTION_ENTRIES = 32

        /**
         * The condition, and the owner's own records: epoch, heartbeat, roster twice, waiting,
         * interference.
         */
        private const val OWN_ENTRIES = 7

        /** The most workflows of one batch. */
        const val MAX_WORKFLOWS = MAX_TRANSACTION_ENTRIES - OWN_ENTRIES
    }
}

/** The workflow [id], which ended long ago, whose cancellation is deleted too if it [isCancelled]. */
data class ForgottenWorkflow(val id: String, val isCancelled: Boolean)

/** A decision or an observed change, for the log, with the inputs that led to it. */
data class SchedulerEvent(val name: String, val id: String, val fields: Map<String, Any?>)
