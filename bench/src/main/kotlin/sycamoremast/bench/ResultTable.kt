/** Tables of results, as CSV and as text. */
package sycamoremast.bench

import java.util.Locale

/** A table; each of [rows] has a cell for each of [columns]. */
data class ResultTable(val name: String, val columns: List<String>, val rows: List<List<String>>) {
    init {
        rows.forEach { row ->
            require(row.size == columns.size) { "$name: ${row.size} cells for $columns: $row" }
        }
    }

    /** Returns the table as CSV, after a comment line for each of [remarks]. */
    fun toCsv(remarks: List<String> = emptyList()): String = buildString {
        remarks.forEach { appendLine("# $it") }
        appendLine(columns.joinToString(",", transform = ::quoted))
        rows.forEach { row -> appendLine(row.joinToString(",", transform = ::quoted)) }
    }

    /** Returns the table as text, with columns of equal width. */
    fun toText(): String {
        val widths = columns.indices.map { i ->
            maxOf(columns[i].length, rows.maxOfOrNull { it[i].length } ?: 0)
        }
        return (listOf(columns) + rows).joinToString("\n", postfix = "\n") { row ->
            row.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString("  ").trimEnd()
        }
    }

    private fun quoted(cell: String): String {
        val plain = cell.none { it == ',' || it == '"' || it == '\n' }
        return if (plain) cell else "\"" + cell.replace("\"", "\"\"") + "\""
    }
}

/** Returns [value] as a cell with four significant digits. */
internal fun cell(value: Double): String = when {
    value.isNaN() -> "-"
    value == 0.0 -> "0"
    kotlin.math.abs(value) >= FOUR_DIGITS -> String.format(Locale.ROOT, "%.0f", value)
    else -> String.format(Locale.ROOT, "%.4g", value)
}

internal fun cell(value: Long): String = value.toString()

private const val FOUR_DIGITS = 1000.0
