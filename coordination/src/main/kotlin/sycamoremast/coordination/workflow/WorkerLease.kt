/** The clock of a worker and the leases granted to it, as the owner knows them. */
package sycamoremast.coordination.workflow

internal class WorkerLease {
    private var clockOffsetMillis: Long? = null
    private var clockReadMillis = 0L

    /** The time by which the last lease granted to the worker has certainly lapsed. */
    var lapsedByMillis = Long.MIN_VALUE
        private set

    /** Whether the offset of the worker's clock is known, without which no lease can be granted. */
    val isClockKnown: Boolean get() = clockOffsetMillis != null

    /**
     * Whether an earlier owner may have granted a lease, and the worker has never answered this one.
     *
     * It stays so when that lease has lapsed: the next owner must not wait for it again.
     */
    val isInherited: Boolean get() = !isClockKnown && lapsedByMillis > Long.MIN_VALUE

    /** Records that the worker's clock showed [clockMillis] at [receivedMillis]. */
    fun recordClock(clockMillis: Long, receivedMillis: Long) {
        clockOffsetMillis = clockMillis - receivedMillis
        clockReadMillis = receivedMillis
    }

    /** Returns the end of a lease granted now, on the worker's clock, or null if unknown. */
    fun endOrNull(nowMillis: Long, isDraining: Boolean, settings: SchedulerSettings): Long? =
        clockOffsetMillis?.let {
            val lease = settings.leaseMillis(isDraining)
            nowMillis + it + lease - settings.maxDrift(nowMillis - clockReadMillis)
        }

    /** Records a lease that has lapsed by [lapsedBy]. */
    fun record(lapsedBy: Long) {
        lapsedByMillis = maxOf(lapsedByMillis, lapsedBy)
    }

    /**
     * Records the first answer to this owner, from which on the worker rejects orders of earlier
     * ones: their leases have lapsed by [lapsedBy].
     */
    fun recordFenced(lapsedBy: Long) {
        lapsedByMillis = minOf(lapsedByMillis, lapsedBy)
    }

    /** Returns the longest time that the last lease may still be valid. */
    fun remainingMillis(nowMillis: Long): Long = maxOf(lapsedByMillis, nowMillis) - nowMillis
}
