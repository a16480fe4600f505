/** Structured log lines: one event a line, as `event=name key=value …`. */
package sycamoremast.daemon.log

/** A log line for the event [name], with [fields] in order; null values are left out. */
internal data class LogEvent(val name: String, val fields: List<Pair<String, Any?>>) {
    /** Returns the line; values with blanks, quotes or equals signs are quoted. */
    override fun toString(): String = buildString {
        append("event=").append(name)
        fields.filter { it.second != null }.forEach { (key, value) ->
            append(' ').append(key).append('=').append(quoted(value.toString()))
        }
    }
}

/** Returns the log line of the event [name] with [fields]. */
internal fun event(name: String, vararg fields: Pair<String, Any?>): String =
    LogEvent(name, fields.toList()).toString()

private val needsQuotes = Regex("[\\s\"=]")

private fun quoted(value: String): String {
    if (value.isNotEmpty() && !needsQuotes.containsMatchIn(value)) return value
    val escaped = value.replace("\\", "\\\\").replace("\"", "\\\"")
    return "\"${escaped.replace("\n", "\\n").replace("\r", "\\r")}\""
}
