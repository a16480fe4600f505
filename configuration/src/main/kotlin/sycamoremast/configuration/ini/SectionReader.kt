/**
 * Typed access to the entries of one INI section.
 *
 * Errors are collected: a function that finds one adds it to the list and returns null. Each
 * function marks its key as known; [SectionReader.rejectUnknownKeys] reports all other keys.
 */
package sycamoremast.configuration.ini

import kotlin.time.Duration
import sycamoremast.configuration.Endpoint
import sycamoremast.configuration.parseDurationOrNull

/** Reads the entries of [section] in [document] and adds each error to [errors]. */
class SectionReader(
    private val document: IniDocument,
    private val section: IniSection,
    private val errors: MutableList<IniError>
) {
    private val knownKeys = mutableSetOf<String>()

    /** Returns whether the section has the optional [key]; marks [key] as known. */
    fun has(key: String): Boolean {
        knownKeys += key
        return section.entry(key) != null
    }

    /**
     * Returns why no value is told for [key], or null if one is told; marks [key] as known.
     *
     * A settings file may be filled in from a template that asks for more than its deployment
     * tells: such a value is empty, or its placeholder is left. A value that holds a placeholder
     * beside other text is told, but malformed.
     */
    fun untoldReasonOrNull(key: String): String? {
        knownKeys += key
        val value = section.entry(key)?.value
        return when {
            value == null -> "the key is missing"
            value.isEmpty() -> "the value is empty"
            PLACEHOLDER.matches(value) -> "the placeholder $value is not filled in"
            else -> null
        }
    }

    /** Returns the text at [key]; a missing key is an error unless there is a [default]. */
    fun text(key: String, default: String? = null): String? =
        convert(key, default, "must not be empty") { it.ifEmpty { null } }

    /** Returns the number at [key], which must be in [range]. */
    fun long(key: String, range: LongRange, default: Long? = null): Long? =
        convert(key, default, "must be a whole number from ${range.first} to ${range.last}") {
            it.toLongOrNull()?.takeIf { n -> n in range }
        }

    /** Returns the number at [key], which must be in [range]. */
    fun int(key: String, range: IntRange, default: Int? = null): Int? =
        long(key, range.first.toLong()..range.last.toLong(), default?.toLong())?.toInt()

    /** Returns the boolean at [key], `true` or `false`. */
    fun boolean(key: String, default: Boolean? = null): Boolean? =
        convert(key, default, "must be true or false") { it.toBooleanStrictOrNull() }

    /** Returns the duration at [key], such as `250ms`, `7s` or `36h`. */
    fun duration(key: String, default: Duration? = null): Duration? =
        convert(key, default, "must be a duration such as 250ms, 7s or 36h") {
            parseDurationOrNull(it)
        }

    /** Returns the IP address and port at [key]. */
    fun endpoint(key: String, default: Endpoint? = null): Endpoint? =
        convert(key, default, "must be an IP number with a port, such as 127.0.0.1:8080") {
            Endpoint.parseOrNull(it)
        }

    /** Returns the value to which [choices] maps the text at [key]. */
    fun <T : Any> choice(key: String, choices: Map<String, T>, default: T? = null): T? =
        convert(key, default, "must be one of ${choices.keys.joinToString()}") { choices[it] }

    /** Returns the value at [key] as converted by [parse]; a null is an error that cites [rule]. */
    fun <T : Any> convert(key: String, default: T?, rule: String, parse: (String) -> T?): T? {
        knownKeys += key
        val entry = section.entry(key)
        if (entry == null) {
            if (default == null) reject(key, "the key is missing")
            return default
        }
        val value = parse(entry.value)
        if (value == null) reject(key, "$rule, but is '${entry.value}'")
        return value
    }

    /** Adds an error for [key], at its line if the section has it, else at the section's header. */
    fun reject(key: String, message: String) {
        val line = section.entry(key)?.line ?: section.line
        errors += IniError(document.file, line, section.name, key, message)
    }

    /** Adds an error for each key that no earlier call marked as known. */
    fun rejectUnknownKeys() {
        val knownList = knownKeys.joinToString()
        section.entries
            .filter { it.key !in knownKeys }
            .forEach { reject(it.key, "the key is unknown; known are $knownList") }
    }

    private companion object {
        val PLACEHOLDER = Regex("""\{\{[^{}]*}}""")
    }
}
