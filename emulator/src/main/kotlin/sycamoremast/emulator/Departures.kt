/** Departures of emulated workers. */
package sycamoremast.emulator

/**
 * The last [count] workers leave one after the other, the first at [fromSecond] and each
 * [intervalMillis] after the one before, [noticeMillis] after the platform lists it as draining.
 */
data class Departures(
    val count: Int,
    val fromSecond: Int,
    val intervalMillis: Long,
    val noticeMillis: Long
)
