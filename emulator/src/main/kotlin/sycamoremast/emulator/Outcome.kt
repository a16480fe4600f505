/** The figures of an emulation. */
package sycamoremast.emulator

/**
 * The outcome of an emulation.
 *
 * [servingShare] is the share of serving tasks' time under their target, less a penalty for time over
 * it; [longestOverMillis] is the longest time on end that one was over it. [examinedWorkers] is how
 * often placement looked at a worker.
 */
data class Outcome(
    val queues: Map<String, QueueOutcome>,
    val servingShare: Double,
    val longestOverMillis: Long,
    val paceOrders: Int,
    val stops: Int,
    val polls: Int,
    val starts: Int,
    val workers: Int,
    val examinedWorkers: Long
)
