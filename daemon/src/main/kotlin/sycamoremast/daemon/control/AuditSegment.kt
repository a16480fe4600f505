/** A bounded part of the audit trail, kept as one document. */
package sycamoremast.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import sycamoremast.configuration.operator.AuditView

/** One change in the trail; [id] is unique, so that it can be added twice without harm. */
@Serializable
internal data class AuditEntry(val id: String, val view: AuditView)

/** The [entries] of a segment, oldest first. */
@Serializable
internal data class AuditSegment(val entries: List<AuditEntry> = emptyList()) {
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    /** Returns this segment with those of [added] that it lacks, or that it has no room. */
    fun with(added: List<AuditEntry>): Either<SegmentFull, AuditSegment> {
        val known = entries.mapTo(hashSetOf()) { it.id }
        val lacking = added.filter { it.id !in known }
        return when {
            lacking.isEmpty() -> right()
            entries.size >= MAX_ENTRIES -> SegmentFull(lacking).left()
            else -> AuditSegment(entries + lacking).right()
        }
    }

    companion object {
        /** The entries after which a segment takes no more. */
        const val MAX_ENTRIES = 64

        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Returns the segment in [text], or null if it holds none. */
        fun parseOrNull(text: String): AuditSegment? = try {
            FORMAT.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            null
        }
    }
}

/** Why a segment refuses: the entries that it is [lacking] go into the next one. */
internal data class SegmentFull(val lacking: List<AuditEntry>)
