/** Tasks that crash emulated workers. */
package sycamoremast.emulator

/**
 * The [share] of the workflows submitted to [queue] between [fromSecond] and [untilSecond] whose
 * first task crashes each worker that starts it.
 *
 * The worker is back after [downMillis], in another incarnation.
 */
data class DeadlyTasks(
    val queue: String,
    val share: Double,
    val fromSecond: Int,
    val untilSecond: Int,
    val downMillis: Long
)
