/** Durations as they stand in configurations: a whole number with one unit, such as `250ms`. */
package sycamoremast.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val PATTERN = Regex("""(\d{1,11})(ms|s|m|h|d)""")

private val UNITS = linkedMapOf(
    "d" to 1.days,
    "h" to 1.hours,
    "m" to 1.minutes,
    "s" to 1.seconds,
    "ms" to 1.milliseconds
)

/** Returns the duration that [text] holds, such as `7s`, or null if it holds none. */
fun parseDurationOrNull(text: String): Duration? {
    val (number, unit) = PATTERN.matchEntire(text)?.destructured ?: return null
    return (UNITS.getValue(unit).inWholeMilliseconds * number.toLong()).milliseconds
}

/** Returns this duration, in whole milliseconds, in the largest unit that holds it exactly. */
fun Duration.toConfigurationText(): String {
    val millis = inWholeMilliseconds
    val (unit, length) = UNITS.entries.first { millis % it.value.inWholeMilliseconds == 0L }
    return "${millis / length.inWholeMilliseconds}$unit"
}
