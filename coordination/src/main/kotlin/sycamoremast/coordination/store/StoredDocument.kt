/**
 * The envelope in which documents are kept in the key-value service.
 *
 * Besides its body, a document holds the last sequence number of each recent writer, so that a
 * writer whose answer was lost finds out by a read whether its write took effect.
 */
package sycamoremast.coordination.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json

/** A [body] with the marks of its recent [writers] after [commits] writes in all. */
@Serializable
data class StoredDocument(
    val writers: Map<String, Long> = emptyMap(),
    val commits: Long = 0,
    val body: String
) {
    /** Returns the next document, written by [writer] as its number [sequence]. */
    internal fun next(writer: String, sequence: Long, body: String): StoredDocument {
        val kept = (writers - writer).entries.toList().takeLast(MAX_WRITERS - 1)
        val sequences = kept.associate { it.key to it.value } + (writer to sequence)
        return StoredDocument(sequences, commits + 1, body)
    }

    /** Returns the text that is kept in the key-value service. */
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    companion object {
        /** The writers whose last sequence number a document keeps. */
        const val MAX_WRITERS = 32

        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Returns the document that [text] holds, or null if it holds none. */
        fun parseOrNull(text: String): StoredDocument? = try {
            FORMAT.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            null
        }

        /**
         * Returns the document that [text] holds.
         *
         * @throws IllegalArgumentException if it holds none
         */
        fun parse(text: String): StoredDocument =
            requireNotNull(parseOrNull(text)) { "not a document: ${text.take(MAX_QUOTED_LENGTH)}" }

        /** Returns the bytes that [body] takes in the kept text. */
        internal fun encodedBytes(body: String): Int =
            FORMAT.encodeToString(String.serializer(), body).toByteArray().size

        private const val MAX_QUOTED_LENGTH = 60
    }
}
