/** The HTTP headers of the protocol between callers, entry hosts and backend servers. */
package sycamoremast.daemon.request

internal object RequestHeaders {
    const val DEADLINE_MILLIS = "X-Deadline-Millis"
    const val REQUEST_ID = "X-Request-Id"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val IDEMPOTENCY_STATE = "X-Idempotency-State"
    const val TEAM = "X-Team"
    const val OUTCOME = "X-Outcome"
    const val FAILURE = "X-Failure"
    const val RETRY_AFTER = "Retry-After"
    const val RETRY_AFTER_MILLIS = "X-Retry-After-Millis"
    const val NOT_RUN = "X-Not-Run"
    const val DRAINING = "X-Draining"

    /** The values of [NOT_RUN] that mean that all slots or connections are in use. */
    val BUSY_REASONS = setOf("slots", "connections")

    /** Headers that apply to a single connection or that each hop sets itself. */
    private val HOP_BY_HOP = setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect"
    )

    /** Headers that the entry host sets itself. */
    private val SET_BY_ENTRY_HOST = setOf(
        DEADLINE_MILLIS,
        REQUEST_ID,
        OUTCOME,
        FAILURE,
        DRAINING,
        NOT_RUN
    ).map { it.lowercase() }.toSet()

    /** Returns whether the header [name] is forwarded unchanged. */
    fun isForwarded(name: String) =
        name.lowercase().let { it !in HOP_BY_HOP && it !in SET_BY_ENTRY_HOST }
}
