/** Emulated workers whose capacity shrinks for a time. */
package sycamoremast.emulator

/**
 * The first [count] workers have only [share] of their capacity from [fromSecond] on for [seconds].
 *
 * They don't guard it: they start what they are told to start. Their entries in the platform's list
 * show it with the next heartbeat. A stop takes [stopMillis].
 */
data class ShrinkingWorkers(
    val count: Int,
    val fromSecond: Int,
    val seconds: Int,
    val share: Double,
    val stopMillis: Long
) {
    /** When the capacity grows again, in milliseconds from the start. */
    val untilMillis: Long get() = (fromSecond + seconds) * MILLIS

    /** When the capacity shrinks, in milliseconds from the start. */
    val fromMillis: Long get() = fromSecond * MILLIS

    private companion object {
        const val MILLIS = 1_000L
    }
}
