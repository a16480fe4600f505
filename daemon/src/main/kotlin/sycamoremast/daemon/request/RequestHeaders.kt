/** The headers by which callers, entry hosts and backend servers understand one another. */
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

    /** What [NOT_RUN] says of a backend server that has all its slots or connections in use. */
    val BUSY = setOf("slots", "connections")

    /** Headers that concern one connection only, or that are written anew for each hop. */
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

    private val OWN = setOf(
        DEADLINE_MILLIS,
        REQUEST_ID,
        OUTCOME,
        FAILURE,
        DRAINING,
        NOT_RUN
    ).map { it.lowercase() }.toSet()

    /** Returns whether the header [name] is passed on as it is. */
    fun isPassedOn(name: String) = name.lowercase().let { it !in HOP_BY_HOP && it !in OWN }
}
