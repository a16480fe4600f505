/**
 * Decides how long the capacity that the platform lists for a worker may be relied on.
 *
 * A worker's capacity may have shrunk since its entry was written. A worker that doesn't guard its
 * capacity takes a start all the same, so it gets none by a reading that is too old.
 */
package sycamoremast.coordination.workflow

internal class CapacityReadings {
    /** The services whose workers reject a start that exceeds their capacity. */
    var guardingServices: Set<String> = emptySet()

    /** When the list of workers was last known to contain all changes. */
    private var confirmedMillis = Long.MIN_VALUE / 2

    /** When the list of workers was first confirmed after a gap. */
    private var regainedMillis = Long.MIN_VALUE / 2

    /** Records that the list of workers contained all changes at [asOfMillis]. */
    fun onConfirmed(asOfMillis: Long) {
        if (asOfMillis > confirmedMillis + MAX_AGE_MILLIS) regainedMillis = asOfMillis
        confirmedMillis = maxOf(confirmedMillis, asOfMillis)
    }

    /** Whether the list of workers is recent enough for starts by its entries. */
    fun isListCurrent(nowMillis: Long): Boolean = nowMillis <= confirmedMillis + MAX_AGE_MILLIS

    /** Whether [worker] may get a start that fits into its listed capacity. */
    fun isUsable(worker: FleetWorker, nowMillis: Long): Boolean =
        worker.listing.service in guardingServices ||
            nowMillis <= worker.listedMillis + MAX_AGE_MILLIS ||
            (isListCurrent(nowMillis) && nowMillis >= regainedMillis + RENEWAL_MILLIS)

    private companion object {
        /**
         * Less than the time for which a start by the earlier capacity is allowed after a
         * shrinking, so that the order arrives within it.
         */
        const val MAX_AGE_MILLIS = 2_500L

        /** The time within which workers renew their entries once they reach the store again. */
        const val RENEWAL_MILLIS = 2_000L
    }
}
