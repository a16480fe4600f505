/** Faults of emulated workers. */
package sycamoremast.emulator

/**
 * The first [count] workers are faulty from [fromSecond] on for [seconds].
 *
 * [failureRate] is the probability that a run started there fails; each run takes [slowdown] times
 * as long.
 */
data class FaultyWorkers(
    val count: Int,
    val fromSecond: Int,
    val seconds: Int,
    val failureRate: Double = 0.0,
    val slowdown: Double = 1.0
)
