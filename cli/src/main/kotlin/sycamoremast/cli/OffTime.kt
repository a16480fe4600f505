/** A time in which a long-running task had no run, and how it ended. */
package sycamoremast.cli

/** How the time without a run ended. */
internal enum class OffEnd { RUNS_AGAIN, JOB_ENDED, LOG_ENDS }

/**
 * A time without a run of [task], after a run on [worker] that ended by [cause].
 *
 * @property earliestSeconds when the run may have ended at the earliest
 * @property notedSeconds when the owner learned of its end
 * @property views how the owner saw the task meanwhile
 * @property holds what held the task back from the first line that tells it on
 */
internal data class OffTime(
    val task: String,
    val worker: String,
    val cause: String,
    val earliestSeconds: Double,
    val notedSeconds: Double,
    val endSeconds: Double,
    val end: OffEnd,
    val views: List<String>,
    val holds: List<HeldTime> = emptyList()
) {
    val seconds: Double get() = endSeconds - earliestSeconds
}
