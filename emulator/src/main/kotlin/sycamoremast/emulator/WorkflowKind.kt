/** Kinds of workflows that arrive in an emulation. */
package sycamoremast.emulator

/**
 * A kind of workflow of [queue]; [ratePerSecond] of them arrive on average.
 *
 * [steps] is the mean number of steps, [width] the mean number of tasks per step, limited to
 * [maxWidth]. A task takes [workMillis] on average; [spread] is the deviation of the logarithm of
 * that time. [failureRate] is the probability that the first run of a task fails. A workflow is in
 * time if it completes within [stretch] times its ideal run time plus [targetLatencyMillis].
 */
data class WorkflowKind(
    val queue: String,
    val priority: Int,
    val ratePerSecond: Double,
    val steps: Double,
    val width: Double,
    val workMillis: Double,
    val spread: Double,
    val milliCpus: Double,
    val memoryMib: Long,
    val stretch: Double,
    val targetLatencyMillis: Long,
    val usesIdleCpu: Boolean = false,
    val isServing: Boolean = false,
    val maxAttempts: Int = 3,
    val failureRate: Double = 0.0,
    val maxWidth: Int = 32
)
