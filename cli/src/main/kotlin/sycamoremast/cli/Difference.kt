/** The comparison of two configurations by section and key. */
package sycamoremast.cli

import kotlinx.serialization.Serializable
import sycamoremast.configuration.ini.IniDocument

/** A [key] of a [section] whose value changed; a null value means that the key is absent. */
@Serializable
internal data class Difference(
    val section: String,
    val key: String,
    val from: String?,
    val to: String?
) {
    /** Returns one line that starts with `+`, `-` or `~`. */
    fun render(): String = when {
        from == null -> "+ [$section] $key = $to"
        to == null -> "- [$section] $key = $from"
        else -> "~ [$section] $key = $from -> $to"
    }
}

/** Returns the differences between two INI texts, in the order of their sections. */
internal fun differences(from: String, to: String): List<Difference> {
    val before = entries(from)
    val after = entries(to)
    return (before.keys + after.keys)
        .filter { before[it] != after[it] }
        .map { Difference(it.section, it.key, before[it], after[it]) }
}

private data class EntryName(val section: String, val key: String)

private fun entries(text: String): Map<EntryName, String> {
    val sections = IniDocument.parse("", text).getOrNull()?.sections.orEmpty()
    return sections.flatMap { section ->
        section.entries.map { EntryName(section.name, it.key) to it.value }
    }.toMap()
}
