/** What became of each request, as its caller saw it. */
package sycamoremast.bench.request

/** A caller's view of the end of a request. */
internal enum class SampleOutcome {
    /** The whole answer to this request came within the deadline. */
    ANSWERED,

    /** The whole answer came after the deadline. */
    LATE,

    /** The caller was told that the request was not run. */
    NOT_RUN,

    /** The caller was told that the outcome is unknown, or any other error. */
    UNKNOWN,

    /** The connection ended without a whole answer. */
    CUT_OFF,

    /** The answer was another request's, or altered. */
    MISMATCHED
}

/**
 * A call that began [atMillis] after the start; the [attempt] counts returns of its caller.
 *
 * [reason] is what the caller was told of a request that wasn't answered.
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
    /** The time from the call until its answer. */
    val latencyMillis get() = latencyMicros / MICROS_PER_MILLI

    /** The time that the caller spent beyond the work itself. */
    val waitMicros get() = (latencyMicros - workMillis * MICROS_PER_MILLI.toLong()).coerceAtLeast(0)

    companion object {
        private const val MICROS_PER_MILLI = 1000.0
    }
}
