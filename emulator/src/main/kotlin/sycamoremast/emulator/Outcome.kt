/** The measured results of an emulation. */
package sycamoremast.emulator

/**
 * The outcome of an emulation, by queue and for the whole fleet.
 *
 * [servingShare] is the share of the serving tasks' time under the target tail latency, less a
 * penalty for the time over it; [longestOverTargetMillis] is the longest uninterrupted time that
 * one of them was over it, and [longestOffMillis] the longest time that one was off between two runs.
 * [tasksOffAtEnd] counts those that had run and were off at the end.
 * [paceOrders], [stops], [polls] and [starts] count the scheduler's calls.
 * [longestExcessMillis] is the longest time after a capacity shrank at which a start exceeded it, and
 * [regainMillis] the time until the first start that needed it after it had grown again.
 * [mostDeadlyStarts] is how often the task that crashed the most workers was started.
 * [examinedWorkers] is the number of workers that placement examined, summed over all attempts.
 */
data class Outcome(
    val queues: Map<String, QueueOutcome>,
    val servingShare: Double,
    val longestOverTargetMillis: Long,
    val longestOffMillis: Long,
    val tasksOffAtEnd: Int,
    val paceOrders: Int,
    val stops: Int,
    val polls: Int,
    val starts: Int,
    val workers: Int,
    val examinedWorkers: Long,
    val longestExcessMillis: Long? = null,
    val regainMillis: Long? = null,
    val mostDeadlyStarts: Int? = null
)
