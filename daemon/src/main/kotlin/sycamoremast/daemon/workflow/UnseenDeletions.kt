/**
 * Workflows whose records the owner has deleted, until it has seen that in the store's changes.
 *
 * Changes arrive in order, so whatever they tell of a workflow after its deletion is about a new one
 * with the same ID. Where they are listed anew instead, the listing shows what was deleted before.
 */
package sycamoremast.daemon.workflow

internal class UnseenDeletions {
    private val revisions = HashMap<String, Long>()
    private var seenRevision = 0L
    private var listedRevision = 0L

    /**
     * Adds the workflows [ids], deleted at [revision]; returns those that may be forgotten now, as a
     * listing has shown it.
     */
    @Synchronized
    fun add(ids: List<String>, revision: Long): List<String> = when {
        revision <= seenRevision -> emptyList()

        revision <= listedRevision -> ids

        else -> {
            ids.forEach { revisions[it] = revision }
            emptyList()
        }
    }

    /** Records that the changes tell of the deletion of [id] at [revision]. */
    @Synchronized
    fun onSeen(id: String, revision: Long) {
        seenRevision = maxOf(seenRevision, revision)
        revisions -= id
    }

    /** Records that a listing begins; returns the workflows that it certainly doesn't show. */
    @Synchronized
    fun onListing(): List<String> = revisions.keys.toList().also { revisions.clear() }

    /** Records a listing as of [revision]; returns further workflows that it doesn't show. */
    @Synchronized
    fun onListed(revision: Long): List<String> {
        listedRevision = maxOf(listedRevision, revision)
        val shown = revisions.filterValues { it <= revision }.keys.toList()
        revisions -= shown.toSet()
        return shown
    }
}
