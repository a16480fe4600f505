/** Structured log lines: one event per line, as `event=name key=value …`. */
package sycamoremast.daemon.log

/** The event [name] with [fields] in order; fields with a null value are omitted. */
internal data class LogEvent(val name: String, val fields: List<Pair<String, Any?>>) {
    /** Returns the log line; values with whitespace, quotes or equals signs are quoted. */
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
