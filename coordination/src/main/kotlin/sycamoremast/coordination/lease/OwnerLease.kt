/** The lease in the platform's key-value service that entitles an owner to act for its shard. */
package sycamoremast.coordination.lease

import sycamoremast.coordination.LeaseId

/** A held lease, valid until [validUntilMillis] on the clock of its holder. */
data class OwnerLease(val id: LeaseId, val validUntilMillis: Long) {
    /** Returns whether the holder may rely on this lease at [nowMillis]. */
    fun isValid(nowMillis: Long) = nowMillis < validUntilMillis

    /** Returns this lease after a renewal whose request was sent at [sentMillis]. */
    fun renewed(sentMillis: Long, timing: LeaseTiming) =
        copy(validUntilMillis = timing.validUntil(sentMillis))
}
