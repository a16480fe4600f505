/**
 * Typed access to the entries of one section, which collects errors instead of stopping at one.
 *
 * Each function returns null after it has reported an error. Keys that were never asked for are
 * reported by [SectionReader.rejectOtherKeys].
 */
package sycamoremast.configuration.ini

import kotlin.time.Duration
import sycamoremast.configuration.Endpoint
import sycamoremast.configuration.parseDurationOrNull

/** Reads [section] of [document], and adds what is wrong with it to [errors]. */
class SectionReader(
    private val document: IniDocument,
    private val section: IniSection,
    private val errors: MutableList<IniError>
) {
    private val asked = mutableSetOf<String>()

    /** Returns whether the section has [key], which is allowed but need not be there. */
    fun has(key: String): Boolean {
        asked += key
        return section.entry(key) != null
    }

    /** Returns the text at [key]; a missing [key] is an error unless there is a [default]. */
    fun text(key: String, default: String? = null): String? =
        convert(key, default, "must not be empty") { it.ifEmpty { null } }

    /** Returns the number at [key], which has to be within [range]. */
    fun long(key: String, range: LongRange, default: Long? = null): Long? =
        convert(key, default, "must be a whole number from ${range.first} to ${range.last}") {
            it.toLongOrNull()?.takeIf { n -> n in range }
        }

    /** Returns the number at [key], which has to be within [range]. */
    fun int(key: String, range: IntRange, default: Int? = null): Int? =
        long(key, range.first.toLong()..range.last.toLong(), default?.toLong())?.toInt()

    /** Returns the truth value at [key]. */
    fun boolean(key: String, default: Boolean? = null): Boolean? =
        convert(key, default, "must be true or false") { it.toBooleanStrictOrNull() }

    /** Returns the duration at [key], such as `250ms`, `7s` or `36h`. */
    fun duration(key: String, default: Duration? = null): Duration? =
        convert(key, default, "must be a duration such as 250ms, 7s or 36h") {
            parseDurationOrNull(it)
        }

    /** Returns the IP number with port at [key]. */
    fun endpoint(key: String, default: Endpoint? = null): Endpoint? =
        convert(key, default, "must be an IP number with a port, such as 127.0.0.1:8080") {
            Endpoint.parseOrNull(it)
        }

    /** Returns the one of [choices] whose name is at [key]. */
    fun <T : Any> choice(key: String, choices: Map<String, T>, default: T? = null): T? =
        convert(key, default, "must be one of ${choices.keys.joinToString()}") { choices[it] }

    /** Returns what [parse] makes of the value at [key]; null from it is the error [rule]. */
    fun <T : Any> convert(key: String, default: T?, rule: String, parse: (String) -> T?): T? {
        asked += key
        val entry = section.entry(key)
        if (entry == null) {
            if (default == null) reject(key, "the key is missing")
            return default
        }
        val value = parse(entry.value)
        if (value == null) reject(key, "$rule, but is '${entry.value}'")
        return value
    }

    /** Reports an error of [key], at its line or else at the line of the section. */
    fun reject(key: String, message: String) {
        val line = section.entry(key)?.line ?: section.line
        errors += IniError(document.file, line, section.name, key, message)
    }

    /** Reports each key that no other function was asked for. */
    fun rejectOtherKeys() {
        val known = asked.joinToString()
        section.entries
            .filter { it.key !in asked }
            .forEach { reject(it.key, "the key is unknown; known are $known") }
    }
}
