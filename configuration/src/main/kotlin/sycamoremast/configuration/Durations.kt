/** The text form of durations in configurations: a whole number and one unit, such as `250ms`. */
package sycamoremast.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val DURATION_PATTERN = Regex("""(\d{1,11})(ms|s|m|h|d)""")

/** The units by their suffix, largest first. */
private val UNITS = linkedMapOf(
    "d" to 1.days,
    "h" to 1.hours,
    "m" to 1.minutes,
    "s" to 1.seconds,
    "ms" to 1.milliseconds
)

/** Returns the duration written as [text], such as `7s`, or null if [text] is not a duration. */
fun parseDurationOrNull(text: String): Duration? {
    val (number, suffix) = DURATION_PATTERN.matchEntire(text)?.destructured ?: return null
    return (UNITS.getValue(suffix).inWholeMilliseconds * number.toLong()).milliseconds
}

/** Returns this duration, cut to whole milliseconds, in the largest unit that is exact. */
fun Duration.toConfigurationText(): String {
    val millis = inWholeMilliseconds
    val (suffix, unit) = UNITS.entries.first { millis % it.value.inWholeMilliseconds == 0L }
    return "${millis / unit.inWholeMilliseconds}$suffix"
}
