/** The syntax of the names of teams, services, routes, jobs, hosts and availability zones. */
package sycamoremast.configuration

/** The rule for all names. A valid name is safe in storage keys, URL paths and section headers. */
object NameRule {
    /** The rule in words, as a predicate: error messages put the subject before it. */
    const val TEXT = "must be 1 to 63 of a-z, 0-9 and -"

    private val PATTERN = Regex("[a-z0-9-]{1,63}")

    /** Returns whether [text] is a valid name. */
    fun matches(text: String): Boolean = PATTERN.matches(text)
}
