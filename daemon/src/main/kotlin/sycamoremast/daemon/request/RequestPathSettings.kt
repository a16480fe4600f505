/** The settings of the request path. */
package sycamoremast.daemon.request

/**
 * Bounds of the request path of one entry host.
 *
 * [queueLimit] bounds the requests that wait for a slot, over all services.
 */
data class RequestPathSettings(
    val maxBodyBytes: Long = DEFAULT_MAX_BODY_BYTES,
    val queueLimit: Int = 1_000,
    val defaultDeadlineMillis: Long = 30_000,
    val hostListRefreshMillis: Long = 500
) {
    init {
        require(maxBodyBytes > 0) { "maxBodyBytes must be positive: $maxBodyBytes" }
        require(queueLimit >= 0) { "queueLimit must not be negative: $queueLimit" }
        require(defaultDeadlineMillis > 0) { "deadline must be positive: $defaultDeadlineMillis" }
        require(hostListRefreshMillis > 0) { "refresh must be positive: $hostListRefreshMillis" }
    }

    companion object {
        /** The largest request body that is taken unless the settings say otherwise: 64 MiB. */
        const val DEFAULT_MAX_BODY_BYTES = 67_108_864L
    }
}
