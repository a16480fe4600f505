/** What names of teams, services, routes, jobs, hosts and availability zones look like. */
package sycamoremast.configuration

/** The rule for all names, which may therefore stand in keys, paths and section headers. */
object NameRule {
    /** The rule in words, to follow the name of what has to follow it. */
    const val TEXT = "must be 1 to 63 of a-z, 0-9 and -"

    private val PATTERN = Regex("[a-z0-9-]{1,63}")

    /** Returns whether [text] is a name. */
    fun matches(text: String): Boolean = PATTERN.matches(text)
}
