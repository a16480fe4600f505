/** The settings of the request path. */
package sycamoremast.daemon.request

import sycamoremast.coordination.request.LedgerTimes

/**
 * Limits and times of the request path of one entry host.
 *
 * [queueLimit] is the maximum number of waiting requests per service. After a drain has begun, new
 * requests are still accepted for [drainGraceMillis], so that the load balancer has time to notice
 * the drain. [slotTimes] are the times for the shares of the backend servers' slots and for loans.
 */
data class RequestPathSettings(
    val maxBodyBytes: Long = DEFAULT_MAX_BODY_BYTES,
    val queueLimit: Int = 1_000,
    val defaultDeadlineMillis: Long = 30_000,
    val hostListRefreshMillis: Long = 500,
    val drainGraceMillis: Long = 1_000,
    val slotTimes: LedgerTimes = LedgerTimes()
) {
    init {
        require(maxBodyBytes > 0) { "maxBodyBytes must be positive: $maxBodyBytes" }
        require(queueLimit >= 0) { "queueLimit must not be negative: $queueLimit" }
        require(defaultDeadlineMillis > 0) { "deadline must be positive: $defaultDeadlineMillis" }
        require(hostListRefreshMillis > 0) { "refresh must be positive: $hostListRefreshMillis" }
        require(drainGraceMillis >= 0) { "drain grace must not be negative: $drainGraceMillis" }
    }

    companion object {
        /** The default limit for request bodies, 64 MiB. */
        const val DEFAULT_MAX_BODY_BYTES = 67_108_864L
    }
}
