/**
 * An owner's view of its lease on one worker.
 *
 * Each call that may have been lost ends the generation of the session. The next renewal carries
 * the next generation as part of its epoch, which acts as a fencing token: the worker rejects
 * delayed calls of the earlier generation, so the answer to the renewal lists exactly what runs
 * there.
 */
package sycamoremast.coordination.lease

/**
 * An owner's lease on a worker.
 *
 * [echoMillis] is the last clock reading received from the worker, and [echoArrivedMillis] the time
 * on the owner's clock when it arrived. The worker's lease has certainly expired after
 * [expiryMillis]. [isFenced] is whether the worker has answered under the current epoch.
 */
data class WorkerSession(
    val shardEpoch: Long,
    val expiryMillis: Long,
    val generation: Long = 0,
    val echoMillis: Long = 0,
    val echoArrivedMillis: Long? = null,
    val isFenced: Boolean = false
) {
    /** The epoch that each call to the worker carries: the shard's epoch and the generation. */
    val epoch: Long get() = (shardEpoch shl GENERATION_BITS) + generation

    /** Returns this session after sending a renewal, which echoes the last clock reading. */
    fun withRenewalSent(timing: LeaseTiming): WorkerSession {
        val echoArrived = echoArrivedMillis ?: return this
        return copy(expiryMillis = maxOf(expiryMillis, timing.expiredFrom(echoArrived)))
    }

    /**
     * Returns this session after an answer with the reading [clockMillis] arrived at [nowMillis].
     *
     * According to the answer, the worker's lease expires within [remainingMillis].
     */
    fun withAnswer(clockMillis: Long, remainingMillis: Long, timing: LeaseTiming, nowMillis: Long) =
        copy(
            echoMillis = clockMillis,
            echoArrivedMillis = nowMillis,
            expiryMillis = maxOf(expiryMillis, nowMillis + remainingMillis + timing.marginMillis),
            isFenced = true
        )

    /** Returns this session, which is known to expire by [atMillis] at the latest. */
    fun expiringBy(atMillis: Long) = copy(expiryMillis = minOf(expiryMillis, atMillis))

    /** Returns this session with the next generation, which is not yet fenced. */
    fun nextGeneration() = copy(generation = generation + 1, isFenced = false)

    /** Returns whether the worker's lease has certainly expired at [nowMillis]. */
    fun isExpired(nowMillis: Long) = nowMillis > expiryMillis

    companion object {
        private const val GENERATION_BITS = 24

        /** Returns the shard's epoch contained in [epoch]. */
        fun shardEpochOf(epoch: Long) = epoch shr GENERATION_BITS
    }
}
