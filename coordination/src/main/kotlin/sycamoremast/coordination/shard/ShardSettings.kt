/** The timing and identity of a shard's owner. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.lease.LeaseTiming

/**
 * How [owner] runs a shard.
 *
 * [longestCutOffMillis] bounds how long an owner goes on that is cut off from the service; it has to
 * be the same on every host. [writer] differs between any two runs of the program, so that their
 * writes can be told apart. The newest [keptEndedJobs] ended jobs keep their records, and at least
 * the newest [rememberedNames] their names. Checkpoints are recorded once in
 * [checkpointPeriodMillis] at most.
 */
data class ShardSettings(
    val owner: String,
    val writer: String,
    val ownerTiming: LeaseTiming,
    val workerTiming: LeaseTiming,
    val heartbeatMillis: Long,
    val longestCutOffMillis: Long = DEFAULT_LONGEST_CUT_OFF_MILLIS,
    val retryMillis: Long = DEFAULT_RETRY_MILLIS,
    val attemptsPerTask: Int = DEFAULT_ATTEMPTS_PER_TASK,
    val checkpointPeriodMillis: Long = DEFAULT_CHECKPOINT_PERIOD_MILLIS,
    val keptEndedJobs: Int = DEFAULT_KEPT_ENDED_JOBS,
    val rememberedNames: Int = DEFAULT_REMEMBERED_NAMES
) {
    companion object {
        /** The pause before a failed call on the service is repeated. */
        const val DEFAULT_RETRY_MILLIS = 200L

        /** How long an owner goes on that is cut off from the service. */
        const val DEFAULT_LONGEST_CUT_OFF_MILLIS = 3_600_000L

        /** The number of failed attempts of one task that fail its job. */
        const val DEFAULT_ATTEMPTS_PER_TASK = 4

        /** How often checkpoints are recorded. */
        const val DEFAULT_CHECKPOINT_PERIOD_MILLIS = 60_000L

        /** The number of ended jobs that keep their records. */
        const val DEFAULT_KEPT_ENDED_JOBS = 500

        /** The number of ended jobs that are known by name. */
        const val DEFAULT_REMEMBERED_NAMES = 30_000
    }
}
