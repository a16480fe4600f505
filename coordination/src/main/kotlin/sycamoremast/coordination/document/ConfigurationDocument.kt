/** A team's configuration as stored in the key-value service and exchanged between hosts. */
package sycamoremast.coordination.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * A team's configuration [text] at [revision], which is counted independently of the service.
 *
 * [operator] submitted it at [atMillis] (wall clock), based on [fromRevision]. [history] lists the
 * changes before it, newest first, up to [HISTORY_LENGTH].
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
    /** The change that led to this revision. */
    val change get() = PastChange(revision, fromRevision, operator, atMillis)

    /** Returns the JSON form of this document. */
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    companion object {
        /** The newest schema that this version of the software can read. */
        const val SCHEMA = 1

        /** The maximum number of earlier changes that a document lists. */
        const val HISTORY_LENGTH = 16

        private val FORMAT = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

        /** Returns the document in [text], or what is known about one that can't be read. */
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

/** A past change of a team's configuration. */
@Serializable
data class PastChange(
    val revision: Long,
    val fromRevision: Long,
    val operator: String,
    val atMillis: Long
)

/** A document that this version can't read; [team] is empty if even that is unknown. */
data class UnreadableDocument(val team: String, val revision: Long, val reason: String)

/** The fields that documents of all schemas have. */
@Serializable
private data class DocumentHead(val team: String, val revision: Long, val schema: Int = 1)
