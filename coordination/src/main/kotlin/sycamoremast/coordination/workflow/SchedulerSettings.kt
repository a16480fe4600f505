/** The limits and times of the workflow scheduler. */
package sycamoremast.coordination.workflow

/**
 * Settings of a [WorkflowScheduler], all times in milliseconds.
 *
 * [leaseMillis] is the longest lease that workers grant. [stopMillis] is how long a stop may take.
 */
data class SchedulerSettings(
    val leaseMillis: Long = DEFAULT_LEASE_MILLIS,
    val stopMillis: Long = DEFAULT_STOP_MILLIS,
    val recordIntervalMillis: Long = DEFAULT_RECORD_INTERVAL_MILLIS,
    val pollWaitMillis: Long = DEFAULT_POLL_WAIT_MILLIS
) {
    /** Returns when a lease that an order of [sentMillis] gave has certainly lapsed. */
    fun lapsedBy(sentMillis: Long): Long =
        sentMillis + leaseMillis + leaseMillis / SLOWEST_CLOCK_DIVISOR + LAPSE_MARGIN_MILLIS

    /** Returns how far a worker's clock may have fallen back in [elapsedMillis], half a lease at most. */
    fun maxClockLagMillis(elapsedMillis: Long): Long =
        (elapsedMillis / SLOWEST_CLOCK_DIVISOR).coerceIn(0, leaseMillis / 2)

    companion object {
        /** The platform's bound on a worker's lease. */
        const val DEFAULT_LEASE_MILLIS = 6_000L

        /** The platform's bound on how long a stop takes. */
        const val DEFAULT_STOP_MILLIS = 200L

        /** Bounds the transactions that record progress to 25 a second, of 400 allowed. */
        const val DEFAULT_RECORD_INTERVAL_MILLIS = 40L

        /** A third of the lease, so that two polls may be lost before it lapses. */
        const val DEFAULT_POLL_WAIT_MILLIS = 1_000L

        /** Workers' clocks may be 2% slow, a fiftieth. */
        private const val SLOWEST_CLOCK_DIVISOR = 50L

        /** Covers the error of a worker's clock reading and the time of the kill itself. */
        private const val LAPSE_MARGIN_MILLIS = 300L

        /** How long an owner goes on without its lease in the store, shut out only by fencing. */
        const val PAST_LEASE_MILLIS = 7_000L
    }
}
