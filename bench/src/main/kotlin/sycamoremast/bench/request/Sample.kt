/** The outcome and latency of each call, as seen by the caller. */
package sycamoremast.bench.request

/** How a call ended, as seen by the caller. */
internal enum class SampleOutcome {
    /** The complete response to this request arrived within the deadline. */
    ANSWERED,

    /** The complete response arrived after the deadline. */
    LATE,

    /** The response said that the request was not run. */
    NOT_RUN,

    /** The response said that the outcome is unknown, or reported another error. */
    UNKNOWN,

    /** The connection ended or timed out before the response was complete. */
    CUT_OFF,

    /** The response was altered or belonged to another request. */
    MISMATCHED
}

/**
 * A call that was sent [atMillis] after the start of the load.
 *
 * [attempt] is 0 for the first call and counts the retries. [reason] is the reason in the response
 * to a request that was not answered, and otherwise empty.
 */
internal data class Sample(
    val kind: String,
    val workMillis: Long,
    val atMillis: Double,
    val latencyMicros: Long,
    val outcome: SampleOutcome,
    val attempt: Int,
    val reason: String = ""
) {
    /** The time from sending the request to the end of the call. */
    val latencyMillis get() = latencyMicros / MICROS_PER_MILLI

    /** The latency in excess of the work itself, at least 0. */
    val waitMicros get() = (latencyMicros - workMillis * MICROS_PER_MILLI.toLong()).coerceAtLeast(0)

    companion object {
        private const val MICROS_PER_MILLI = 1000.0
    }
}
