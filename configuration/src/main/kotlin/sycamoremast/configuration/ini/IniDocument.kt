/**
 * Parsed INI text: sections and entries with their line numbers.
 *
 * The syntax is that of ini4j without escapes, includes and line continuations: `[section]`
 * headers, `key = value` entries, and comment lines that start with `#` or `;`.
 */
package sycamoremast.configuration.ini

import arrow.core.Either
import arrow.core.NonEmptyList

/** The sections of an INI [file] in file order, and the number of its lines. */
data class IniDocument(val file: String, val sections: List<IniSection>, val lineCount: Int) {
    /** Returns the section [name], or null if there is none. */
    fun section(name: String): IniSection? = sections.find { it.name == name }

    companion object {
        /**
         * Returns the document written in [text], or all errors in order of line.
         *
         * Duplicate sections, duplicate keys of a section, entries outside of a section and
         * control characters are errors. [file] names the source in error messages.
         */
        fun parse(file: String, text: String): Either<NonEmptyList<IniError>, IniDocument> =
            IniDocumentParser(file, text).parse()
    }
}

/** A section with the [line] of its header. */
data class IniSection(val name: String, val line: Int, val entries: List<IniEntry>) {
    /** Returns the entry with [key], or null if there is none. */
    fun entry(key: String): IniEntry? = entries.find { it.key == key }
}

/** A [key] and its [value], both without surrounding blanks. */
data class IniEntry(val key: String, val value: String, val line: Int)

/** An error at a [line] of [file]; [section] and [key] are empty if they don't apply. */
data class IniError(
    val file: String,
    val line: Int,
    val section: String,
    val key: String,
    val message: String
) {
    /** Returns `file:line: [section] key: message`, without the empty parts. */
    fun render(): String = buildString {
        append("$file:$line: ")
        if (section.isNotEmpty()) append("[$section] ")
        if (key.isNotEmpty()) append("$key: ")
        append(message)
    }

    override fun toString(): String = render()
}
