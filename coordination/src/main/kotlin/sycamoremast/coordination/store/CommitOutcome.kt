/** The outcomes of changes that are submitted to a [DocumentWriter]. */
package sycamoremast.coordination.store

/** The outcome of one change; [R] is the caller's own type of rejection. */
sealed interface CommitOutcome<out R> {
    /** The change is durable as of the document's [version]. */
    data class Committed(val version: Long) : CommitOutcome<Nothing>

    /** The change itself rejected the current document with [rejection]; nothing was written. */
    data class Rejected<R>(val rejection: R) : CommitOutcome<R>

    /** The change has not taken effect and never will. */
    data class NotCommitted(val step: String, val peer: String, val reason: String) :
        CommitOutcome<Nothing>

    /** The change may have taken effect, or may still do so later. */
    data class Unknown(val step: String, val peer: String, val reason: String) :
        CommitOutcome<Nothing>
}
