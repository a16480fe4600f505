/** Sets of task indices, kept as ranges so that the record of a large job stays short. */
package sycamoremast.coordination.record

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An immutable set of non-negative indices; its text form is like `0-9,12`. */
@Serializable(with = IndexSetSerializer::class)
class IndexSet private constructor(private val ranges: List<IntRange>) {
    /** The number of indices in this set. */
    val size: Int get() = ranges.sumOf { it.last - it.first + 1 }

    /** Returns whether [index] is in this set. */
    operator fun contains(index: Int): Boolean = ranges
        .binarySearch { if (index in it) 0 else it.first.compareTo(index) } >= 0

    /** Returns this set with [indices] added. */
    operator fun plus(indices: Iterable<Int>): IndexSet =
        IndexSet(merge(ranges + indices.map { it..it }))

    /** Returns the indices in ascending order. */
    fun toList(): List<Int> = ranges.flatten()

    override fun equals(other: Any?) = other is IndexSet && other.ranges == ranges

    override fun hashCode() = ranges.hashCode()

    override fun toString() =
        ranges.joinToString(",") { if (it.first == it.last) "${it.first}" else "$it".hyphenated() }

    private fun String.hyphenated() = replace("..", "-")

    companion object {
        /** The empty set. */
        val EMPTY = IndexSet(emptyList())

        /** Returns the set of [indices]. */
        fun of(vararg indices: Int) = EMPTY + indices.asIterable()

        /**
         * Returns the set that [text] lists.
         *
         * @throws IllegalArgumentException if the text is not a list of indices and ranges
         */
        fun parse(text: String): IndexSet =
            requireNotNull(parseOrNull(text)) { "not a list of index ranges: $text" }

        /** Returns the set that [text] lists, or null if it is not a list of indices and ranges. */
        fun parseOrNull(text: String): IndexSet? {
            if (text.isEmpty()) return EMPTY
            val ranges = text.split(",").map { parseRange(it) ?: return null }
            return IndexSet(merge(ranges))
        }

        private fun parseRange(text: String): IntRange? {
            val first = text.substringBefore("-").toIntOrNull() ?: return null
            val last = text.substringAfter("-", "$first").toIntOrNull() ?: return null
            return (first..last).takeIf { first in 0..last }
        }

        private fun merge(ranges: List<IntRange>): List<IntRange> {
            val merged = mutableListOf<IntRange>()
            for (range in ranges.sortedBy { it.first }) {
                val last = merged.lastOrNull()
                if (last == null || range.first > last.last + 1) {
                    merged += range
                } else {
                    merged[merged.size - 1] = last.first..maxOf(last.last, range.last)
                }
            }
            return merged
        }
    }
}

internal object IndexSetSerializer : KSerializer<IndexSet> {
    override val descriptor = PrimitiveSerialDescriptor("IndexSet", PrimitiveKind.STRING)

    override fun deserialize(decoder: Decoder) = IndexSet.parse(decoder.decodeString())

    override fun serialize(encoder: Encoder, value: IndexSet) =
        encoder.encodeString(value.toString())
}
