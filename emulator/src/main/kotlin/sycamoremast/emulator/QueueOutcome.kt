/** What became of the work that an emulation submitted. */
package sycamoremast.emulator

/** What became of the workflows of one queue. */
data class QueueOutcome(
    val asked: Int,
    val inTime: Int,
    val late: Int,
    val failed: Int,
    val medianMillis: Long
) {
    /** The share that was completed in time. */
    val inTimeShare: Double get() = if (asked == 0) 1.0 else inTime.toDouble() / asked
}
