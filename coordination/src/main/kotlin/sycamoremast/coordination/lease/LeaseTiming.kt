/** How long leases last, and how far two monotonic clocks may drift apart meanwhile. */
package sycamoremast.coordination.lease

/** A lease of [ttlMillis], judged with a drift margin of [marginMillis]. */
data class LeaseTiming(val ttlMillis: Long, val marginMillis: Long) {
    init {
        require(ttlMillis > 0) { "a lease must last for some time: $ttlMillis" }
        require(marginMillis in 0 until ttlMillis) {
            "the margin must be shorter than the lease: $marginMillis of $ttlMillis"
        }
    }

    /** Returns until when a holder may rely on a lease that it asked for at [sentMillis]. */
    fun reliableUntil(sentMillis: Long) = sentMillis + ttlMillis - marginMillis

    /** Returns from when a lease is certainly over that was last prolonged at [grantedMillis]. */
    fun certainlyOverAt(grantedMillis: Long) = grantedMillis + ttlMillis + marginMillis
}
