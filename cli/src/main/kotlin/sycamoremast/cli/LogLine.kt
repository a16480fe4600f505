/**
 * Lines of hosts' logs.
 *
 * A log line of a daemon has an ISO time, then `event=name`, then `key=value` fields.
 */
package sycamoremast.cli

/** A log line; [time] and [event] are empty if the line has none. */
internal data class LogLine(val time: String, val event: String, val text: String) {
    private val fields: Map<String, String> by lazy {
        FIELD.findAll(text).associate { it.groupValues[1] to it.groupValues[2].trim('"') }
    }

    /** Returns the value of the field [name], or an empty string. */
    fun field(name: String): String = fields[name].orEmpty()

    companion object {
        private val TIME = Regex("""\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?""")
        private val EVENT = Regex("""event=([\w-]+)""")
        private val FIELD = Regex("""(\w+)=("[^"]*"|\S+)""")

        /** Returns the line [text] with its time and event. */
        fun parse(text: String) = LogLine(
            TIME.find(text)?.value.orEmpty(),
            EVENT.find(text)?.groupValues?.get(1).orEmpty(),
            text
        )
    }
}
