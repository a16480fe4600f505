/** A bounded part of the audit trail, stored as one document. */
package sycamoremast.daemon.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import sycamoremast.configuration.operator.AuditView

/** One change in the trail; its unique [id] makes appending idempotent. */
@Serializable
internal data class AuditEntry(val id: String, val view: AuditView)

/** The [entries] of a segment, oldest first. */
@Serializable
internal data class AuditSegment(val entries: List<AuditEntry> = emptyList()) {
    fun print(): String = FORMAT.encodeToString(serializer(), this)

    /** Returns this segment with the missing entries of [added], or [SegmentFull]. */
    fun withEntries(added: List<AuditEntry>): Either<SegmentFull, AuditSegment> {
        val known = entries.mapTo(hashSetOf()) { it.id }
        val missing = added.filter { it.id !in known }
        return when {
            missing.isEmpty() -> right()
            entries.size >= MAX_ENTRIES -> SegmentFull(missing).left()
            else -> AuditSegment(entries + missing).right()
        }
    }

    companion object {
        /** The number of entries from which on a segment accepts no more. */
        const val MAX_ENTRIES = 64

        private val FORMAT = Json { ignoreUnknownKeys = true }

        /** Returns the segment parsed from [text], or null if [text] is malformed. */
        fun parseOrNull(text: String): AuditSegment? = try {
            FORMAT.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            null
        }
    }
}

/** Rejects an append: the [missing] entries belong in the next segment. */
internal data class SegmentFull(val missing: List<AuditEntry>)
