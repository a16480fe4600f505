/** Settings of a shard's owner: its identity, timing and limits. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.lease.LeaseTiming

/**
 * Settings with which the host [owner] runs a shard.
 *
 * [writer] is unique to each run of the program, which makes its writes distinguishable from those
 * of other runs. [maxStoreOutageMillis] limits for how long an owner continues without the store
 * and must be the same on every host. The newest [retainedEndedJobs] ended jobs keep their records,
 * and at least the newest [retainedEndedNames] ended jobs their names. Checkpoints are recorded at
 * most once per [checkpointPeriodMillis].
 */
data class ShardSettings(
    val owner: String,
    val writer: String,
    val ownerTiming: LeaseTiming,
    val workerTiming: LeaseTiming,
    val heartbeatMillis: Long,
    val maxStoreOutageMillis: Long = DEFAULT_MAX_STORE_OUTAGE_MILLIS,
    val retryMillis: Long = DEFAULT_RETRY_MILLIS,
    val attemptsPerTask: Int = DEFAULT_ATTEMPTS_PER_TASK,
    val checkpointPeriodMillis: Long = DEFAULT_CHECKPOINT_PERIOD_MILLIS,
    val retainedEndedJobs: Int = DEFAULT_RETAINED_ENDED_JOBS,
    val retainedEndedNames: Int = DEFAULT_RETAINED_ENDED_NAMES
) {
    companion object {
        /** The delay before a failed call to the store is retried. */
        const val DEFAULT_RETRY_MILLIS = 200L

        /** The time for which an owner continues without the store. */
        const val DEFAULT_MAX_STORE_OUTAGE_MILLIS = 3_600_000L

        /** The number of failed attempts of one task after which its job fails. */
        const val DEFAULT_ATTEMPTS_PER_TASK = 4

        /** The minimum time between two writes of checkpoints. */
        const val DEFAULT_CHECKPOINT_PERIOD_MILLIS = 60_000L

        /** The number of ended jobs that keep their records. */
        const val DEFAULT_RETAINED_ENDED_JOBS = 500

        /** The number of ended jobs that keep their names. */
        const val DEFAULT_RETAINED_ENDED_NAMES = 30_000
    }
}
