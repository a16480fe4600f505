/** The lease in the platform's service by which an owner may act for its shard. */
package sycamoremast.coordination.lease

import sycamoremast.coordination.LeaseId

/** A held lease; the holder may rely on it before [reliableUntilMillis] on its own clock. */
data class OwnerLease(val id: LeaseId, val reliableUntilMillis: Long) {
    /** Returns whether the holder may still rely on this lease at [nowMillis]. */
    fun isReliable(nowMillis: Long) = nowMillis < reliableUntilMillis

    /** Returns this lease as prolonged by a request that was sent at [sentMillis]. */
    fun prolonged(sentMillis: Long, timing: LeaseTiming) =
        copy(reliableUntilMillis = timing.reliableUntil(sentMillis))
}
