/**
 * Workflows whose records the owner has deleted, until it has seen that in the store's changes.
 *
 * Changes arrive in order, so whatever they tell of a workflow after its deletion is about a new one
 * with the same ID. Where they are listed anew instead, the listing shows what was deleted before.
 */
package sycamoremast.daemon.workflow

/** Calls [forget] for a workflow once changes or a listing show that it was deleted. */
internal class UnseenDeletions(private val forget: (id: String) -> Unit) {
    private val revisions = HashMap<String, Long>()
    private var seenRevision = 0L
    private var listedRevision = 0L

    /** Adds the workflows [ids], which this owner has deleted at [revision]. */
    @Synchronized
    fun add(ids: List<String>, revision: Long) = when {
        revision <= seenRevision -> Unit
        revision <= listedRevision -> ids.forEach(forget)
        else -> ids.forEach { revisions[it] = revision }
    }

    /** Forgets the workflow [id], as the changes tell that it was deleted at [revision]. */
    @Synchronized
    fun onSeen(id: String, revision: Long) {
        seenRevision = maxOf(seenRevision, revision)
        revisions -= id
        forget(id)
    }

    /** Forgets the workflows that a listing, which begins, certainly doesn't show. */
    @Synchronized
    fun onListing() = forgetUpTo(Long.MAX_VALUE)

    /** Forgets the workflows that a listing as of [revision] didn't show. */
    @Synchronized
    fun onListed(revision: Long) {
        listedRevision = maxOf(listedRevision, revision)
        forgetUpTo(revision)
    }

    private fun forgetUpTo(revision: Long) {
        val shown = revisions.filterValues { it <= revision }.keys.toList()
        revisions -= shown.toSet()
        shown.forEach(forget)
    }
}
