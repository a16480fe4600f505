/** Result tables, rendered as CSV or as aligned text. */
package sycamoremast.bench

import java.util.Locale

/** A table of text cells. Each row has one cell per column. */
data class ResultTable(val name: String, val columns: List<String>, val rows: List<List<String>>) {
    init {
        rows.forEach { row ->
            require(row.size == columns.size) { "$name: ${row.size} cells for $columns: $row" }
        }
    }

    /** Returns the table as CSV, preceded by one comment line for each of [headerComments]. */
    fun toCsv(headerComments: List<String> = emptyList()): String = buildString {
        headerComments.forEach { appendLine("# $it") }
        appendLine(columns.joinToString(",", transform = ::quoteIfNeeded))
        rows.forEach { row -> appendLine(row.joinToString(",", transform = ::quoteIfNeeded)) }
    }

    /** Returns the table as text with aligned columns. */
    fun toText(): String {
        val widths = columns.indices.map { i ->
            maxOf(columns[i].length, rows.maxOfOrNull { it[i].length } ?: 0)
        }
        return (listOf(columns) + rows).joinToString("\n", postfix = "\n") { row ->
            row.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString("  ").trimEnd()
        }
    }

    private fun quoteIfNeeded(cell: String): String {
        val needsNoQuotes = cell.none { it == ',' || it == '"' || it == '\n' }
        return if (needsNoQuotes) cell else "\"" + cell.replace("\"", "\"\"") + "\""
    }
}

/** Returns [value] with four significant digits; values from 1000 up as integers, NaN as `-`. */
internal fun cell(value: Double): String = when {
    value.isNaN() -> "-"
    value == 0.0 -> "0"
    kotlin.math.abs(value) >= MIN_FOUR_DIGIT_VALUE -> String.format(Locale.ROOT, "%.0f", value)
    else -> String.format(Locale.ROOT, "%.4g", value)
}

/** Returns [value] with all its digits. */
internal fun cell(value: Long): String = value.toString()

private const val MIN_FOUR_DIGIT_VALUE = 1000.0
