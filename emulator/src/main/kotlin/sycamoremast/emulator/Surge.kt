/** Surges of arrivals in an emulation. */
package sycamoremast.emulator

/** A surge: arrivals in [queue] are multiplied by [factor] from [fromSecond] on for [seconds]. */
data class Surge(val queue: String, val fromSecond: Int, val seconds: Int, val factor: Double)
