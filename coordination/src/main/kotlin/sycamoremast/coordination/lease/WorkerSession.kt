/**
 * What an owner knows of its lease on one worker.
 *
 * Every call that may have been lost ends the session's generation. The next renewal carries the
 * next generation as part of its epoch, so the worker refuses whatever of the earlier generation is
 * still under way, and the answer tells for certain what runs there.
 */
package sycamoremast.coordination.lease

/**
 * An owner's lease on a worker.
 *
 * [echoMillis] is the worker's last clock reading and [echoArrivedMillis] the owner's time when it
 * arrived. The worker certainly holds no lease from [overAtMillis] on. [fenced] says whether the
 * worker has answered under the current epoch.
 */
data class WorkerSession(
    val shardEpoch: Long,
    val overAtMillis: Long,
    val generation: Long = 0,
    val echoMillis: Long = 0,
    val echoArrivedMillis: Long? = null,
    val fenced: Boolean = false
) {
    /** The epoch that every call on the worker carries. */
    val epoch: Long get() = (shardEpoch shl GENERATION_BITS) + generation

    /** Returns this session after a renewal was sent that echoes the last reading. */
    fun renewalSent(timing: LeaseTiming): WorkerSession {
        val arrived = echoArrivedMillis ?: return this
        return copy(overAtMillis = maxOf(overAtMillis, timing.certainlyOverAt(arrived)))
    }

    /**
     * Returns this session after an answer that arrived at [nowMillis] with a clock reading.
     *
     * The answer also says that the worker's lease ends in [remainingMillis] at the latest.
     */
    fun answered(clockMillis: Long, remainingMillis: Long, timing: LeaseTiming, nowMillis: Long) =
        copy(
            echoMillis = clockMillis,
            echoArrivedMillis = nowMillis,
            overAtMillis = maxOf(overAtMillis, nowMillis + remainingMillis + timing.marginMillis),
            fenced = true
        )

    /** Returns this session, known to be over by [atMillis] at the latest. */
    fun overBy(atMillis: Long) = copy(overAtMillis = minOf(overAtMillis, atMillis))

    /** Returns the session of the next generation. */
    fun nextGeneration() = copy(generation = generation + 1, fenced = false)

    /** Returns whether the worker certainly holds no lease at [nowMillis]. */
    fun isOver(nowMillis: Long) = nowMillis > overAtMillis

    companion object {
        private const val GENERATION_BITS = 24

        /** Returns the shard's epoch that is part of [epoch]. */
        fun shardEpochOf(epoch: Long) = epoch shr GENERATION_BITS
    }
}
