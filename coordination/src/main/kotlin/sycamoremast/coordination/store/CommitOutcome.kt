/** What became of a change that was handed to a [DocumentWriter]. */
package sycamoremast.coordination.store

/** The outcome of one change; [R] is the caller's own type of rejection. */
sealed interface CommitOutcome<out R> {
    /** The change is durable in the document's [version]. */
    data class Committed(val version: Long) : CommitOutcome<Nothing>

    /** The change itself declined the current document, for [rejection]; nothing was written. */
    data class Rejected<R>(val rejection: R) : CommitOutcome<R>

    /** The change certainly did not take effect and never will. */
    data class NotCommitted(val step: String, val peer: String, val reason: String) :
        CommitOutcome<Nothing>

    /** The change may or may not have taken effect, or may do so yet. */
    data class Unknown(val step: String, val peer: String, val reason: String) :
        CommitOutcome<Nothing>
}
