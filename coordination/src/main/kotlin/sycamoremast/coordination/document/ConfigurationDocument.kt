/** A team's configuration as it is kept in the key-value service and passed between hosts. */
package sycamoremast.coordination.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * A team's configuration [text] at a [revision], which the document itself counts.
 *
 * [operator] submitted it at [atMillis], by the wall clock, on top of [fromRevision]. [history]
 * holds the changes before it, newest first, as far as [HISTORY_LENGTH] reaches.
 */
@Serializable
data class ConfigurationDocument(
    val team: String,
    val revision: Long,
    val text: String,
    val operator: String,
    val atMillis: Long,
    val fromRevision: Long,
    val history: List<PastChange> = emptyList(),
    val schema: Int = SCHEMA
) {
    /** This document's own change. */
    val change get() = PastChange(revision, fromRevision, operator, atMillis)

    /** Returns the text in which this document is kept. */
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    companion object {
        /** The newest schema that this version reads. */
        const val SCHEMA = 1

        /** The number of earlier changes that a document lists. */
        const val HISTORY_LENGTH = 16

        private val FORMAT = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

        /** Returns the document in [text], or what can be told of one that can't be read. */
        fun parse(text: String): Either<UnreadableDocument, ConfigurationDocument> {
            val head = decodeOrNull(DocumentHead.serializer(), text)
                ?: return UnreadableDocument("", 0, "not a configuration document").left()
            if (head.schema > SCHEMA) return head.unreadable("schema ${head.schema}")
            return decodeOrNull(serializer(), text)?.right() ?: head.unreadable("malformed")
        }

        private fun DocumentHead.unreadable(reason: String) =
            UnreadableDocument(team, revision, reason).left()

        private fun <T> decodeOrNull(
            serializer: kotlinx.serialization.DeserializationStrategy<T>,
            text: String
        ): T? = try {
            FORMAT.decodeFromString(serializer, text)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}

/** A change that was made to a team's configuration. */
@Serializable
data class PastChange(
    val revision: Long,
    val fromRevision: Long,
    val operator: String,
    val atMillis: Long
)

/** A document that this version can't read; [team] is empty where not even that can be told. */
data class UnreadableDocument(val team: String, val revision: Long, val reason: String)

/** The part of a document that all schemas have. */
@Serializable
private data class DocumentHead(val team: String, val revision: Long, val schema: Int = 1)
