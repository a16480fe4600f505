/** Decides whether a submitted configuration may follow the one that stands. */
package sycamoremast.coordination.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** A submission of [text] by [operator] on top of [fromRevision]. */
data class ConfigurationChange(
    val team: String,
    val fromRevision: Long,
    val text: String,
    val operator: String,
    val atMillis: Long
) {
    /**
     * Returns the document that follows [stored], or why there is none.
     *
     * [known] is the newest document that the deciding host holds. It counts where the service
     * holds an older one, as after the restore of a backup: a revision is never used twice.
     */
    fun applyTo(
        stored: ConfigurationDocument?,
        known: ConfigurationDocument?
    ): Either<ChangeRefusal, ConfigurationDocument> {
        val current = listOfNotNull(stored, known).maxByOrNull { it.revision }
        val revision = current?.revision ?: 0
        return when {
            current != null && isRepeatOf(current) && current == stored ->
                ChangeRefusal.AlreadyAccepted(revision).left()

            fromRevision != revision -> ChangeRefusal.LostRace(current).left()

            current != null && current.text == text && current == stored ->
                ChangeRefusal.Unchanged(revision).left()

            else -> successorOf(current).right()
        }
    }

    private fun isRepeatOf(current: ConfigurationDocument) = current.fromRevision == fromRevision &&
        current.text == text &&
        current.operator == operator

    private fun successorOf(current: ConfigurationDocument?): ConfigurationDocument {
        val past = listOfNotNull(current?.change) + current?.history.orEmpty()
        return ConfigurationDocument(
            team = team,
            revision = fromRevision + 1,
            text = text,
            operator = operator,
            atMillis = atMillis,
            fromRevision = fromRevision,
            history = past.take(ConfigurationDocument.HISTORY_LENGTH)
        )
    }
}

/** Why a submission does not lead to a new revision. */
sealed interface ChangeRefusal {
    /** This very submission has been accepted before, as [revision]. */
    data class AlreadyAccepted(val revision: Long) : ChangeRefusal

    /** The text is the one that stands at [revision]. */
    data class Unchanged(val revision: Long) : ChangeRefusal

    /** Another change, [current], came first; null where there is no document at all. */
    data class LostRace(val current: ConfigurationDocument?) : ChangeRefusal

    /** The stored document can't be read by this version. */
    data class Unreadable(val document: UnreadableDocument) : ChangeRefusal
}
