package sycamoremast.cli

/**
 * The time between a lease and the next run: [run] of [task] was ordered on [worker] at
 * [startSeconds], and [runBefore] on [workerBefore] may have held a lease until [leaseEndSeconds].
 *
 * @property lateStarts how many starts may have granted that lease in a later incarnation
 */
internal data class LeaseGap(
    val task: String,
    val run: Int,
    val worker: String,
    val startSeconds: Double,
    val runBefore: Int,
    val workerBefore: String,
    val leaseEndSeconds: Double,
    val lateStarts: Int
) {
    val seconds: Double get() = startSeconds - leaseEndSeconds

    /** Whether the lease was booked too short, even if the run had ended by then. */
    val isNegative: Boolean get() = seconds < 0
}
