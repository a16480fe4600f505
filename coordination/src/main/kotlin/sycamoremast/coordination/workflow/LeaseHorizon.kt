package sycamoremast.coordination.workflow

/**
 * The time by which all leases end, on the owner's clock.
 *
 * It is [knownMillis] by the last heartbeat that standbys know of, and [durableMillis] by the last
 * durable one, after which heartbeats may be announced for a limited time.
 */
internal data class LeaseHorizon(val knownMillis: Long, val durableMillis: Long) {
    /** Returns the horizon after a heartbeat that was formed at [formedMillis]. */
    fun after(formedMillis: Long, isDurable: Boolean, settings: SchedulerSettings): LeaseHorizon {
        val endMillis = formedMillis + settings.leaseHorizonMillis
        return LeaseHorizon(
            maxOf(knownMillis, endMillis),
            if (isDurable) {
                endMillis + SchedulerSettings.LONGEST_ANNOUNCED_MILLIS
            } else {
                durableMillis
            }
        )
    }

    companion object {
        /** Before the first heartbeat, no lease is granted. */
        val NONE = LeaseHorizon(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2)
    }
}
