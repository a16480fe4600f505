/** Output formats of results and errors: tables and sentences for people, JSON for programs. */
package sycamoremast.cli

import java.time.Instant
import kotlinx.serialization.json.Json
import sycamoremast.configuration.operator.ErrorView

internal val JSON = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    prettyPrint = true
}

internal fun CallError.exitCode(): ExitCode = when (this) {
    is CallError.NotReached -> ExitCode.UNREACHABLE
    is CallError.OutcomeUnknown -> ExitCode.OUTCOME_UNKNOWN
    is CallError.Refused, is CallError.NotFound -> ExitCode.FAILED
    is CallError.LostRace -> ExitCode.LOST_RACE
    is CallError.Invalid -> ExitCode.INVALID
}

/** Returns the error messages, one per line, each with the failed step and its peer. */
internal fun CallError.messages(): List<String> = when (this) {
    is CallError.NotReached -> failures.map { "${it.peer}: ${it.step} failed: ${it.reason}" }
    is CallError.OutcomeUnknown -> listOf("$peer: $step: outcome unknown: $reason")
    is CallError.Refused -> listOf(error.message())
    is CallError.NotFound -> listOf(error.message())
    is CallError.LostRace -> listOf(
        "${other.team}: ${other.operator} changed it to revision ${other.revision} at " +
            "${formatInstant(other.atMillis)}; nothing was changed"
    )
    is CallError.Invalid -> errors
}

private fun ErrorView.message(): String {
    val retry = retryAfterMillis?.let { "; come back in $it ms" }.orEmpty()
    return "$peer: $step failed: $reason$retry"
}

/** Returns the ISO 8601 UTC time of [millis] since the Unix epoch. */
internal fun formatInstant(millis: Long): String = Instant.ofEpochMilli(millis).toString()

/** Returns [seconds] with milliseconds. */
internal fun formatSeconds(seconds: Double): String = "%.3f".format(seconds)

/** Returns a text table whose columns are as wide as their widest cell; null prints as `-`. */
internal fun table(header: List<String>, rows: List<List<Any?>>): String {
    val cells = listOf(header) + rows.map { row -> row.map { it?.toString() ?: "-" } }
    val widths = header.indices.map { column -> cells.maxOf { it[column].length } }
    return cells.joinToString("\n") { row ->
        row.withIndex().joinToString("  ") { (i, cell) -> cell.padEnd(widths[i]) }.trimEnd()
    }
}
