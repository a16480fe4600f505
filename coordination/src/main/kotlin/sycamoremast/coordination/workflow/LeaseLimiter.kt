/**
 * Decides which leases the roster limits, so that the next owner needn't wait for the longest ones.
 *
 * A worker that leaves would otherwise delay each owner of a series by the longest lease that the
 * one before may have granted it.
 */
package sycamoremast.coordination.workflow

internal class LeaseLimiter(private val fleet: Fleet) {
    private var limitedMillis = Long.MIN_VALUE / 2

    /** The limits of the last roster that was formed. */
    private var formed = LeaseLimits.NONE

    /**
     * Whether the roster has to be recorded anew: it limits a lease for no reason any more, or
     * leases of silent or draining workers are running out.
     */
    fun isRecordDue(nowMillis: Long): Boolean = isObsolete() ||
        (nowMillis >= limitedMillis + INTERVAL_MILLIS && isRunningOut(nowMillis))

    private fun isObsolete(): Boolean =
        fleet.leaseLimits.ended.any { fleet.workers[it]?.isWithoutContact == false } ||
            fleet.leaseLimits.short.any { fleet.workers[it]?.listing?.isDraining == false }

    private fun isRunningOut(nowMillis: Long): Boolean = fleet.workers.values.any {
        val isRecorded = it.id in fleet.leaseLimits.ended
        val isOver = nowMillis > it.lease.lapsedByMillis + INTERVAL_MILLIS
        (it.isWithoutContact && !(isRecorded && isOver)) || (it.listing.isDraining && !isOver)
    }

    /**
     * Limits the leases of workers without contact and of draining ones for a roster that is formed
     * now.
     *
     * Returns how long they may last.
     */
    fun limit(nowMillis: Long): LeasesLeft {
        limitedMillis = nowMillis
        val (silent, others) = fleet.workers.values.partition { it.isWithoutContact }
        val draining = others.filter { it.listing.isDraining }
        formed = LeaseLimits(silent.mapTo(HashSet()) { it.id }, draining.mapTo(HashSet()) { it.id })
        fleet.leaseLimits += formed
        val shortest = fleet.settings.drainingLimitMillis()
        return LeasesLeft(
            silent.associate { it.id to it.lease.remainingMillis(nowMillis) },
            draining.associate { it.id to maxOf(it.lease.remainingMillis(nowMillis), shortest) },
            fleet.strayLeasesLeft(nowMillis)
        )
    }

    /** Gives up the limits that the roster formed last, which is durable now, doesn't contain. */
    fun onRecorded() {
        fleet.leaseLimits = fleet.leaseLimits.recorded(formed)
        fleet.isRosterDurable = true
    }

    private companion object {
        /** The next owner may wait so much longer than necessary for a silent worker. */
        const val INTERVAL_MILLIS = 1_000L
    }
}
