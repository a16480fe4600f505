/** The check whether a submitted configuration may replace the current one. */
package sycamoremast.coordination.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** A configuration [text] that [operator] submits, based on [fromRevision]. */
data class ConfigurationChange(
    val team: String,
    val fromRevision: Long,
    val text: String,
    val operator: String,
    val atMillis: Long
) {
    /**
     * Returns the document that follows [stored], or why the change is refused.
     *
     * [known] is the newest document on the deciding host. It takes precedence if the service holds
     * an older one, for example after a restore from a backup, so that no revision is used twice.
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

/** The reason why a submission does not lead to a new revision. */
sealed interface ChangeRefusal {
    /** The same submission has already been accepted, as [revision]. */
    data class AlreadyAccepted(val revision: Long) : ChangeRefusal

    /** The text equals the current one, at [revision]. */
    data class Unchanged(val revision: Long) : ChangeRefusal

    /** The change is not based on [current], which is null if there is no document at all. */
    data class LostRace(val current: ConfigurationDocument?) : ChangeRefusal

    /** This version can't read the stored document. */
    data class Unreadable(val document: UnreadableDocument) : ChangeRefusal
}
