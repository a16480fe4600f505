/** The clock of a worker and the leases granted to it, as the owner knows them. */
package sycamoremast.coordination.workflow

internal class WorkerLease {
    private var clockOffsetMillis: Long? = null
    private var clockReadMillis = 0L

    /** The offsets known when heartbeats were formed which standbys may not know of yet. */
    private val formedOffsets = LinkedHashMap<Long, Long>()

    /**
     * The offset known when the last heartbeat was formed that standbys know of, or null if none was
     * known then: without it, nothing tells how long the owner has been suspended since.
     */
    private var heartbeatOffsetMillis: Long? = null

    /** The same for the last durable heartbeat. */
    private var durableOffsetMillis: Long? = null

    /** Whether a durable heartbeat was formed when the clock of this incarnation was known. */
    val isClockDurable: Boolean get() = durableOffsetMillis != null

    private var recordedLapsedByMillis = Long.MIN_VALUE

    /**
     * The time by which leases have lapsed that starts have granted if the worker had restarted
     * unnoticed by [suspectedMillis].
     */
    private var suspectedLapsedByMillis = Long.MIN_VALUE
    private var suspectedMillis = Long.MIN_VALUE

    /** The time by which the last lease granted to the worker has certainly lapsed. */
    val lapsedByMillis: Long get() = maxOf(recordedLapsedByMillis, suspectedLapsedByMillis)

    /** The same, or null if no owner can have granted a lease. */
    val lapsedByMillisOrNull: Long? get() = lapsedByMillis.takeIf { isRecorded }

    /** Whether any owner may have granted a lease. */
    val isRecorded: Boolean get() = lapsedByMillis > Long.MIN_VALUE

    private var recordedStrayMillis = Long.MIN_VALUE

    /** The time by which leases have certainly lapsed that stray orders may have granted. */
    val strayLapsedByMillis: Long get() = maxOf(recordedStrayMillis, suspectedLapsedByMillis)

    /** Whether the offset of the worker's clock is known, without which no lease can be granted. */
    val isClockKnown: Boolean get() = clockOffsetMillis != null

    /** Whether no heartbeat has been formed since the worker's clock is known. */
    val isHeartbeatDue: Boolean
        get() = isClockKnown && heartbeatOffsetMillis == null && formedOffsets.isEmpty()

    /**
     * Whether an earlier owner may have granted a lease, and the worker has never answered this one.
     *
     * It stays so when that lease has lapsed: the next owner must not wait for it again.
     */
    val isInherited: Boolean get() = !isClockKnown && isRecorded

    /** Records that the worker's clock showed [clockMillis] at [receivedMillis]. */
    fun recordClock(clockMillis: Long, receivedMillis: Long) {
        clockOffsetMillis = clockMillis - receivedMillis
        clockReadMillis = receivedMillis
    }

    /** Records that a heartbeat is formed at [formedMillis]. */
    fun onHeartbeatFormed(formedMillis: Long) {
        clockOffsetMillis?.let { formedOffsets[formedMillis] = it }
    }

    /**
     * Records that all standbys know of the heartbeat that was formed at [formedMillis], as it
     * [isDurable] or they have acknowledged it, and whether it [isLatest] of those.
     */
    fun onHeartbeatKnown(formedMillis: Long, isDurable: Boolean, isLatest: Boolean = true) {
        val formedOffset = formedOffsets[formedMillis]
        if (formedOffset != null && isLatest) heartbeatOffsetMillis = formedOffset
        if (formedOffset != null && isDurable) durableOffsetMillis = formedOffset
        // The record in flight may become durable after later heartbeats were acknowledged.
        if (isDurable) formedOffsets.keys.removeAll { it <= formedMillis }
    }

    /** Forgets the clock of an earlier incarnation. */
    fun forgetClock() {
        clockOffsetMillis = null
        formedOffsets.clear()
        heartbeatOffsetMillis = null
        durableOffsetMillis = null
    }

    /**
     * Returns how long a lease granted now may last that ends by [latest]; this is negative if the
     * time has passed, or if the worker's clock is unknown or was so at the last heartbeat.
     *
     * The times are converted by the offsets known at the heartbeats from which they count: this
     * owner's clock doesn't count the time for which the owner was suspended since. Where the offset
     * known now is smaller, the worker's clock has lagged while nobody read it.
     */
    fun longestMillis(nowMillis: Long, latest: LeaseHorizon): Long {
        val offset = clockOffsetMillis ?: return -1
        val heartbeatOffset = heartbeatOffsetMillis ?: return -1
        val durableOffset = durableOffsetMillis ?: return -1
        val endMillis = minOf(
            latest.knownMillis + minOf(heartbeatOffset, offset),
            latest.durableMillis + minOf(durableOffset, offset)
        )
        return endMillis - nowMillis - offset
    }

    /**
     * Returns the end of a lease granted now, on the worker's clock, or null if there is none.
     *
     * The lease ends by [latest], as in [longestMillis].
     */
    fun endOrNull(
        nowMillis: Long,
        latest: LeaseHorizon,
        isDraining: Boolean,
        settings: SchedulerSettings
    ): Long? {
        val offset = clockOffsetMillis ?: return null
        val drift = settings.maxDrift(nowMillis - clockReadMillis)
        val full = settings.leaseMillis(isDraining) - drift
        val length = minOf(full, longestMillis(nowMillis, latest))
        return if (length > 0) nowMillis + offset + length else null
    }

    /** Records a lease that has lapsed by [lapsedBy]. */
    fun record(lapsedBy: Long) {
        recordedLapsedByMillis = maxOf(recordedLapsedByMillis, lapsedBy)
    }

    /** Records that stray orders may have granted leases, which have lapsed by [lapsedBy]. */
    fun recordStray(lapsedBy: Long) {
        recordedStrayMillis = maxOf(recordedStrayMillis, lapsedBy)
        record(lapsedBy)
    }

    /**
     * Records that a start may have granted a lease to an incarnation that nobody knows by [nowMillis],
     * which has lapsed by [lapsedBy].
     */
    fun suspectStray(lapsedBy: Long, nowMillis: Long) {
        suspectedLapsedByMillis = maxOf(suspectedLapsedByMillis, lapsedBy)
        suspectedMillis = nowMillis
    }

    /** Records a report to a poll sent at [polledMillis], which shows a restart if there was one. */
    fun clearSuspicion(polledMillis: Long) {
        if (polledMillis > suspectedMillis) suspectedLapsedByMillis = Long.MIN_VALUE
    }

    /**
     * Records the first answer to this owner, from which on the worker rejects orders of earlier
     * ones: their leases have lapsed by [lapsedBy], unless stray orders have granted longer ones.
     */
    fun recordFenced(lapsedBy: Long) {
        recordedLapsedByMillis =
            minOf(recordedLapsedByMillis, maxOf(lapsedBy, strayLapsedByMillis))
    }

    /**
     * Records the first answer to this owner by an incarnation that no earlier owner has recorded:
     * stray orders may have granted leases, and no lease lasts longer than these, until [lapsedBy].
     */
    fun recordStrayFenced(lapsedBy: Long) {
        recordedStrayMillis = lapsedBy
        recordedLapsedByMillis = lapsedBy
    }

    /** Records that an inherited lease has lapsed by [lapsedBy], if that is sooner than known. */
    fun limitInherited(lapsedBy: Long) {
        recordedLapsedByMillis = minOf(recordedLapsedByMillis, lapsedBy)
    }

    /** Returns the longest time that the last lease may still be valid. */
    fun remainingMillis(nowMillis: Long): Long = maxOf(lapsedByMillis, nowMillis) - nowMillis
}
