/**
 * The parts of the scheduler that may keep a long-running task from starting, each with its bound.
 *
 * A part that doesn't know of the others can't tell how long all of them together hold a task back.
 * Their bounds stand here, so that they can be added up.
 */
package sycamoremast.coordination.workflow

/**
 * What a start has to pass, one after the other. Holds of one stage exclude each other, or pass at
 * the same time.
 */
internal enum class HoldStage { EARLIER_OWNER, CRASH, WORKER, ROOM, RECORD, REPORT, ORDER, PAUSE }

/**
 * A reason why a task doesn't start, or not on one worker.
 *
 * @property longestMillis the longest time for which it keeps a long-running task from starting, or
 *   null if that is as long as what causes it goes on
 * @property mayBeginInCalm whether it may begin while no host, worker, link or store is disturbed
 * @property protectsOthers whether it only keeps tasks from failing on a worker that looks unsound
 */
internal enum class StartHold(
    val stage: HoldStage,
    val longestMillis: Long? = null,
    val mayBeginInCalm: Boolean = false,
    val protectsOthers: Boolean = false
) {
    /** A run may exist that an earlier owner has ordered; ends with an answer of its worker. */
    EARLIER_OWNER(HoldStage.EARLIER_OWNER),

    /** The worker has left the platform's list; ends with its next entry. */
    UNLISTED(HoldStage.WORKER),

    /** The worker is about to leave. */
    DRAINING(HoldStage.WORKER),

    /** The worker has certainly ended. */
    WORKER_LOST(HoldStage.WORKER),

    /** Calls to the worker fail; ends with an answer. */
    UNREACHABLE(HoldStage.WORKER),

    /** The worker has not told yet all that runs or has ended on it; ends with a full report. */
    UNREPORTED(HoldStage.WORKER),

    /** No durable roster names the worker; ends with the next record. */
    NOT_IN_ROSTER(HoldStage.WORKER),

    /** The clock of the worker isn't known; ends with a report. */
    CLOCK_UNKNOWN(HoldStage.WORKER),

    /** The worker has restarted and may not know the token yet; ends with a report. */
    NOT_INTRODUCED(HoldStage.WORKER),

    /** A call has failed since the last report; ends with the next one. */
    INCARNATION_IN_DOUBT(HoldStage.WORKER),

    /** Another incarnation has written the worker's entry; ends with the next entry. */
    LISTING_OUTDATED(HoldStage.WORKER),

    /** Runs of unknown tasks take room on the worker; ends once they are stopped. */
    UNKNOWN_RUNS(HoldStage.WORKER),

    /**
     * A suspect of crashes is on trial on the worker; ends once it has outlived the crashes. Suspects
     * that only one worker suits are tried one after the other, so that the last one waits for longer.
     */
    ON_TRIAL(HoldStage.WORKER, longestMillis = 3_000),

    /** A start was rejected, or not sent as the worker is silent; reports may change that. */
    START_REJECTED(HoldStage.WORKER, longestMillis = 300, mayBeginInCalm = true),

    /** A lease granted now would lapse too soon; ends with the owner's next heartbeat. */
    LEASE_TOO_SHORT(HoldStage.WORKER),

    /** The worker may accept orders of a replaced owner; ends once the owner's lease is valid. */
    NOT_FENCED(HoldStage.WORKER),

    /** The store may tell the next owner that the worker has no lease; ends with a record. */
    NO_LEASE(HoldStage.WORKER),

    /** The worker's capacity isn't known; ends with its next entry. */
    CAPACITY_OUTDATED(HoldStage.WORKER),

    /** Runs of several tasks have failed on the worker in a row. */
    FAILURES_IN_ROW(
        HoldStage.WORKER,
        longestMillis = 1_000,
        mayBeginInCalm = true,
        protectsOthers = true
    ),

    /** A run on the worker was stopped as it made no progress. */
    RUN_STUCK(
        HoldStage.WORKER,
        longestMillis = 1_000,
        mayBeginInCalm = true,
        protectsOthers = true
    ),
    OTHER_SERVICE(HoldStage.WORKER),
    LABEL_MISSING(HoldStage.WORKER),
    ACCELERATORS_TAKEN(HoldStage.WORKER),
    MEMORY_TAKEN(HoldStage.WORKER),
    CPU_TAKEN(HoldStage.WORKER),

    /** Serving tasks on the worker would lack the headroom for a neighbour. */
    NO_HEADROOM(HoldStage.WORKER),

    /** As many tasks of the step are on the worker as may be. */
    STEP_NOT_SPREAD(HoldStage.WORKER),

    /** A run of the task is on the worker already. */
    TASK_PRESENT(HoldStage.WORKER),

    /** Workers have crashed under the task; ends once the fleet has been free of losses. */
    CRASHES_HELD(HoldStage.CRASH, longestMillis = 4_000),

    /** Others still take the room reserved for the task; ends several times later than a stop. */
    ROOM_AWAITED(HoldStage.ROOM, longestMillis = 3_000, mayBeginInCalm = true),

    /** The place of the task isn't durable yet; ends with the next record. */
    PLACE_UNRECORDED(HoldStage.RECORD),

    /** The worker has to show its incarnation first; longer than an unanswered poll takes. */
    REPORT_AWAITED(HoldStage.REPORT, longestMillis = 700, mayBeginInCalm = true),

    /** The start waits to be sent, after which it is given back, or it is being answered. */
    START_PENDING(HoldStage.ORDER, longestMillis = 1_050, mayBeginInCalm = true),

    /** The start was sent and got no answer; ends once its worker has told of no such run. */
    START_UNANSWERED(HoldStage.ORDER),

    /** A run that isn't wanted is being stopped; ends once the worker has told that it is gone. */
    RUN_STOPPING(HoldStage.ORDER),

    /** The last start was congested or malformed, and the next one waits a moment. */
    PAUSED(HoldStage.PAUSE, longestMillis = 1_000, mayBeginInCalm = true);

    /** The longest time, for holds that have one. */
    val boundMillis: Long get() = checkNotNull(longestMillis) { "$this has no bound" }

    companion object {
        /** How long a task waits for a sound worker before it may take a suspect one. */
        val LONGEST_SUSPICION_MILLIS = FAILURES_IN_ROW.boundMillis

        /** Returns for how long holds that begin in calm keep a task from starting, one by one. */
        fun longestChainInCalmMillis(): Long = entries.filter { it.mayBeginInCalm }
            .groupBy { it.stage }.values
            .sumOf { stage -> stage.maxOf { it.boundMillis } }
    }
}
