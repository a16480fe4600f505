/** The outcome of the workflows that an emulation submitted. */
package sycamoremast.emulator

/**
 * The outcome of the workflows of one queue.
 *
 * Of the [submitted] workflows, [inTime] completed within their latency objective, [late] completed
 * after it, and [failed] did not complete. [medianMillis] is the median time from submission to
 * completion.
 */
data class QueueOutcome(
    val submitted: Int,
    val inTime: Int,
    val late: Int,
    val failed: Int,
    val medianMillis: Long
) {
    /** The share of workflows that completed in time; 1 if none was submitted. */
    val inTimeShare: Double get() = if (submitted == 0) 1.0 else inTime.toDouble() / submitted
}
