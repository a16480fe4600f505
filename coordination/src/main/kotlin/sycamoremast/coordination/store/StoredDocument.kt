/**
 * The envelope of documents in the key-value service.
 *
 * Besides its body, a document holds the last sequence number of each recent writer. A writer whose
 * answer was lost reads the document to find out whether its write took effect.
 */
package sycamoremast.coordination.store

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json

/** A [body] with the last sequence numbers of recent [writers], after [commits] writes. */
@Serializable
data class StoredDocument(
    val writers: Map<String, Long> = emptyMap(),
    val commits: Long = 0,
    val body: String
) {
    /** Returns the document after write number [sequence] of [writer], with [body]. */
    internal fun next(writer: String, sequence: Long, body: String): StoredDocument {
        val kept = (writers - writer).entries.toList().takeLast(MAX_WRITERS - 1)
        val sequences = kept.associate { it.key to it.value } + (writer to sequence)
        return StoredDocument(sequences, commits + 1, body)
    }

    /** Returns the text that is stored in the key-value service. */
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    companion object {
        /** The maximum number of writers whose last sequence number is kept. */
        const val MAX_WRITERS = 32

        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Returns the document with the stored form [text], or null if it is not a document. */
        fun parseOrNull(text: String): StoredDocument? = try {
            FORMAT.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            null
        }

        /**
         * Returns the document with the stored form [text].
         *
         * @throws IllegalArgumentException if it is not a document
         */
        fun parse(text: String): StoredDocument =
            requireNotNull(parseOrNull(text)) { "not a document: ${text.take(MAX_QUOTED_LENGTH)}" }

        /** Returns the number of bytes that [body] takes in the stored text. */
        internal fun encodedBytes(body: String): Int =
            FORMAT.encodeToString(String.serializer(), body).toByteArray().size

        private const val MAX_QUOTED_LENGTH = 60
    }
}
