/** Limits and timeouts of the workflow scheduler. */
package sycamoremast.coordination.workflow

/**
 * Settings of a [WorkflowScheduler]; all times are in milliseconds.
 *
 * [leaseMillis] is the lease that orders grant to a worker, and [drainingLeaseMillis] the one that
 * they grant to a worker that is about to leave. Workers shorten longer leases to
 * [longestLeaseMillis]. [stopMillis] is how long a stop may take.
 * [maxOpenTasks] is how many tasks the owner keeps in memory, those that run included.
 * [statusMillis] is how long after its end the state of a workflow has to be known, [problemMillis]
 * how long that of a failed one, and
 * [clockJumpMillis] how far the clocks of two owners may differ, one of which has recorded the end.
 * [recordDelayMillis] is how long after the end of a workflow its record may have been written.
 */
data class SchedulerSettings(
    val leaseMillis: Long = DEFAULT_LEASE_MILLIS,
    val stopMillis: Long = DEFAULT_STOP_MILLIS,
    val recordIntervalMillis: Long = DEFAULT_RECORD_INTERVAL_MILLIS,
    val pollWaitMillis: Long = DEFAULT_POLL_WAIT_MILLIS,
    val drainingLeaseMillis: Long = DRAINING_LEASE_MILLIS,
    val maxOpenTasks: Long = DEFAULT_MAX_OPEN_TASKS,
    val statusMillis: Long = DEFAULT_STATUS_MILLIS,
    val problemMillis: Long = maxOf(statusMillis, DEFAULT_PROBLEM_MILLIS),
    val clockJumpMillis: Long = DEFAULT_CLOCK_JUMP_MILLIS,
    val recordDelayMillis: Long = LONGEST_ANNOUNCED_MILLIS + PAST_LEASE_MILLIS,
    val longestLeaseMillis: Long = leaseMillis
) {
    /**
     * How long the records of a workflow are kept once callers can see that it ended as [phase].
     *
     * Those of failed ones are what operators read problem reports from.
     */
    fun retentionMillis(phase: WorkflowPhase): Long =
        (if (phase == WorkflowPhase.FAILED) problemMillis else statusMillis) + clockJumpMillis

    /** Returns the length of the lease that an order grants to a worker. */
    fun leaseMillis(isDraining: Boolean): Long =
        if (isDraining) minOf(drainingLeaseMillis, leaseMillis) else leaseMillis

    /** Returns when a lease granted by an order sent at [sentMillis] has certainly lapsed. */
    fun lapsedBy(sentMillis: Long, isDraining: Boolean = false): Long {
        val lease = leaseMillis(isDraining)
        return sentMillis + lease + lease / SLOWEST_CLOCK_DIVISOR + LAPSE_MARGIN_MILLIS
    }

    /**
     * Returns how long after another owner's claim the lease of a draining worker may last.
     *
     * An owner that is no longer the sole one grants it none.
     */
    fun drainingLimitMillis(): Long = OWNER_OVERRUN_MILLIS + lapsedBy(0, isDraining = true)

    /**
     * How long after the owner's last heartbeat that standbys know of any lease may end, on the
     * owner's clock.
     */
    val leaseHorizonMillis: Long
        get() = minOf(leaseMillis + LEASE_HORIZON_SLACK_MILLIS, LONGEST_LEASE_HORIZON_MILLIS)

    /**
     * Returns when all leases of an owner have certainly lapsed whose last heartbeat was seen at
     * [seenMillis].
     */
    fun lapsedAfterHeartbeat(seenMillis: Long): Long {
        val horizon = leaseHorizonMillis
        val clockErrors = 2 * maxClockError(horizon)
        return seenMillis + horizon + clockErrors + LAPSE_MARGIN_MILLIS
    }

    /**
     * Returns when any lease has certainly lapsed that a worker had accepted by [acceptedMillis].
     *
     * A stray order, which reaches another incarnation than the one that it was meant for, grants a
     * lease by a clock that this one doesn't have.
     */
    fun strayLapsedBy(acceptedMillis: Long): Long = acceptedMillis +
        longestLeaseMillis +
        maxClockError(longestLeaseMillis) +
        LAPSE_MARGIN_MILLIS

    /**
     * Whether a successor, which counts from the owner's last heartbeat, also waits for a stray lease
     * that was accepted before that heartbeat.
     */
    val doHeartbeatsBoundStrayLeases: Boolean
        get() = strayLapsedBy(0) <= lapsedAfterHeartbeat(0)

    /** Returns how far a worker's clock may lag after [elapsedMillis], at most half a lease. */
    fun maxDrift(elapsedMillis: Long): Long =
        (elapsedMillis / SLOWEST_CLOCK_DIVISOR).coerceIn(0, leaseMillis / 2)

    companion object {
        /**
         * Returns how long after a durable heartbeat an owner may announce heartbeats, by any clock.
         */
        fun longestAnnouncedMillis(): Long =
            LONGEST_ANNOUNCED_MILLIS + 2 * maxClockError(LONGEST_ANNOUNCED_MILLIS)

        /** Returns how far two clocks may drift apart within [elapsedMillis]. */
        fun maxClockError(elapsedMillis: Long): Long = elapsedMillis / SLOWEST_CLOCK_DIVISOR

        /**
         * Returns how long after the last renewal of its lease in the store, of [leaseMillis], an
         * owner may act.
         *
         * By any clock, that ends at most [PAST_LEASE_MILLIS] after the lease.
         */
        fun actingMillis(leaseMillis: Long): Long {
            val longestMillis = leaseMillis + PAST_LEASE_MILLIS
            return longestMillis - maxClockError(longestMillis)
        }

        /** Returns the settings for workers that accept leases of at most [maxLeaseMillis]. */
        fun within(
            maxLeaseMillis: Long,
            stopMillis: Long,
            maxOpenTasks: Long = DEFAULT_MAX_OPEN_TASKS,
            statusMillis: Long = DEFAULT_STATUS_MILLIS
        ) = SchedulerSettings(
            leaseMillis = minOf(maxLeaseMillis, LONGEST_LEASE_MILLIS),
            longestLeaseMillis = maxLeaseMillis,
            stopMillis = stopMillis,
            maxOpenTasks = maxOpenTasks,
            statusMillis = statusMillis
        )

        /**
         * Outlasts a takeover and most partitions. The tasks of a lost worker can't restart before
         * its lease lapses, so a longer lease costs time whenever a worker is lost.
         */
        const val LONGEST_LEASE_MILLIS = 7_000L

        /** Several times the interval of polls; a worker that drains will soon be lost. */
        const val DRAINING_LEASE_MILLIS = 3_000L

        /** Takes some 60 MB, well within the smallest host's memory. */
        const val DEFAULT_MAX_OPEN_TASKS = 200_000L

        /** The platform's limit on a worker's lease. */
        const val DEFAULT_LEASE_MILLIS = 6_000L

        /** The platform's bound on how long the state of an ended workflow has to be known. */
        const val DEFAULT_STATUS_MILLIS = 120_000L

        /** Operators who look once an hour see each failed workflow. */
        const val DEFAULT_PROBLEM_MILLIS = 3_600_000L

        /** Several times as long as the seconds by which clocks may jump. */
        const val DEFAULT_CLOCK_JUMP_MILLIS = 30_000L

        /** The platform's limit on how long a stop takes. */
        const val DEFAULT_STOP_MILLIS = 200L

        /** Limits the transactions that record progress to 25 per second, of 400 allowed. */
        const val DEFAULT_RECORD_INTERVAL_MILLIS = 40L

        /** With its timeout, a poll takes less than a third of the lease, so two may be lost. */
        const val DEFAULT_POLL_WAIT_MILLIS = 1_000L

        /** Workers' clocks may be slow by up to 1/50, or 2%. */
        private const val SLOWEST_CLOCK_DIVISOR = 50L

        /** Covers the error of a worker's clock reading and the time that killing a run takes. */
        private const val LAPSE_MARGIN_MILLIS = 300L

        /** How late an owner may notice that its lease in the store has ended. */
        private const val OWNER_OVERRUN_MILLIS = 2_000L

        /** How often an owner writes a heartbeat, which allows it to grant leases for a while. */
        const val HEARTBEAT_INTERVAL_MILLIS = 600L

        /** Shorter leases have their full length while heartbeats come at twice their interval. */
        private const val LEASE_HORIZON_SLACK_MILLIS = 1_400L

        /** Lets the tasks of a worker that is lost together with the owner restart within 7 s. */
        private const val LONGEST_LEASE_HORIZON_MILLIS = 6_000L

        /**
         * How long after a durable heartbeat an owner may announce heartbeats to standbys instead.
         *
         * A host that is no standby waits so much longer for workers that it doesn't reach.
         */
        const val LONGEST_ANNOUNCED_MILLIS = 30_000L

        /** How long an owner may go on without a valid lease in the store, relying on fencing. */
        const val PAST_LEASE_MILLIS = 7_000L
    }
}
