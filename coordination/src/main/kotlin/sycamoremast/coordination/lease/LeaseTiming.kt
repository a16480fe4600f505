/** The duration of leases, with a margin for the drift between two monotonic clocks. */
package sycamoremast.coordination.lease

/** A lease duration of [ttlMillis], within which two clocks drift by at most [marginMillis]. */
data class LeaseTiming(val ttlMillis: Long, val marginMillis: Long) {
    init {
        require(ttlMillis > 0) { "the TTL of a lease must be positive: $ttlMillis" }
        require(marginMillis in 0 until ttlMillis) {
            "the drift margin must be at least 0 and less than the TTL: $marginMillis of $ttlMillis"
        }
    }

    /** Returns the time until which a holder may rely on a lease requested at [sentMillis]. */
    fun validUntil(sentMillis: Long) = sentMillis + ttlMillis - marginMillis

    /** Returns the time from which a lease last renewed at [grantedMillis] has certainly expired. */
    fun expiredFrom(grantedMillis: Long) = grantedMillis + ttlMillis + marginMillis
}
