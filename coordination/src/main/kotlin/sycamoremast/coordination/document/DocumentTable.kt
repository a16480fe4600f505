/**
 * The configuration documents that a host holds.
 *
 * Documents arrive from the key-value service and from peers, in any order and any number of times.
 * A document is accepted only if its revision is higher than the held one. A document that can't be
 * read here is held so that it can be sent to peers, while the previous one stays in force.
 */
package sycamoremast.coordination.document

import arrow.core.Either

/** Holds documents up to [maxSize] characters that [parse] turns into a [C]; thread-safe. */
class DocumentTable<C>(
    private val maxSize: Int = DEFAULT_MAX_SIZE,
    private val parse: (team: String, text: String) -> Either<String, C>
) {
    private val held = sortedMapOf<String, HeldDocument<C>>()

    /** Adds the document in [text] if it is newer than the held one, and returns the result. */
    @Synchronized
    fun offer(text: String): OfferResult<C> {
        if (text.length > maxSize) return OfferResult.Unreadable("", 0, "${text.length} characters")
        return when (val read = ConfigurationDocument.parse(text)) {
            is Either.Left -> holdUnreadable(read.value, text)
            is Either.Right -> accept(read.value, text)
        }
    }

    /** Returns the document of [team] that is in force, or null if there is none. */
    @Synchronized
    fun inForce(team: String): DocumentInForce<C>? = held[team]?.inForce

    /** Returns all documents that are in force, by team. */
    @Synchronized
    fun allInForce(): Map<String, DocumentInForce<C>> =
        held.mapNotNull { (team, document) -> document.inForce?.let { team to it } }.toMap()

    /** Returns the held revisions by team, including those that can't be read here. */
    @Synchronized
    fun revisions(): Map<String, Long> = held.mapValues { it.value.revision }

    /** Returns the teams whose newest held document can't be read here. */
    @Synchronized
    fun unreadableTeams(): Set<String> =
        held.filterValues { it.inForce?.document?.revision != it.revision }.keys.toSet()

    /** Returns the texts held for [teams]. */
    @Synchronized
    fun texts(teams: Collection<String>): List<String> = teams.mapNotNull { held[it]?.text }

    /** Returns a checksum of all teams' revisions, equal for equal tables. */
    @Synchronized
    fun digest(): Long = held.entries.sumOf { (team, document) -> mix(team, document.revision) }

    private fun accept(document: ConfigurationDocument, text: String): OfferResult<C> {
        val known = held[document.team]
        if (known != null && known.revision >= document.revision) {
            return OfferResult.NotNewer(document.team, document.revision, known.revision)
        }
        val configuration = when (val parsed = parse(document.team, document.text)) {
            is Either.Right -> parsed.value

            is Either.Left -> return holdUnreadable(
                UnreadableDocument(document.team, document.revision, parsed.value),
                text
            )
        }
        val inForce = DocumentInForce(document, configuration)
        held[document.team] = HeldDocument(document.revision, text, inForce)
        return OfferResult.Accepted(inForce)
    }

    private fun holdUnreadable(document: UnreadableDocument, text: String): OfferResult<C> {
        val known = held[document.team]
        if (known != null && known.revision >= document.revision) {
            return OfferResult.NotNewer(document.team, document.revision, known.revision)
        }
        if (document.team.isNotEmpty()) {
            held[document.team] = HeldDocument(document.revision, text, known?.inForce)
        }
        return OfferResult.Unreadable(document.team, document.revision, document.reason)
    }

    private class HeldDocument<C>(
        val revision: Long,
        val text: String,
        val inForce: DocumentInForce<C>?
    )

    private companion object {
        const val DEFAULT_MAX_SIZE = 1_000_000
        const val TEAM_FACTOR = 0x9E3779B97F4A7C15uL
        const val REVISION_FACTOR = 0xC2B2AE3D27D4EB4FuL
        const val MIXING_SHIFT = 29

        fun mix(team: String, revision: Long): Long {
            val seed = team.hashCode().toULong() * TEAM_FACTOR + revision.toULong()
            val mixed = (seed xor (seed shr MIXING_SHIFT)) * REVISION_FACTOR
            return (mixed xor (mixed shr MIXING_SHIFT)).toLong()
        }
    }
}

/** A [document] that is in force, and the [configuration] in it. */
data class DocumentInForce<C>(val document: ConfigurationDocument, val configuration: C)

/** The result of offering a document to a [DocumentTable]. */
sealed interface OfferResult<out C> {
    /** The document is in force now. */
    data class Accepted<C>(val accepted: DocumentInForce<C>) : OfferResult<C>

    /** The table holds [heldRevision], which is as high or higher. */
    data class NotNewer(val team: String, val revision: Long, val heldRevision: Long) :
        OfferResult<Nothing>

    /** The document can't be read here for [reason]; the previous one stays in force. */
    data class Unreadable(val team: String, val revision: Long, val reason: String) :
        OfferResult<Nothing>
}
