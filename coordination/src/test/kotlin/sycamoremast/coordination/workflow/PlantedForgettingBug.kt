/** Faults planted in the deletion of records, to test that the model play detects them. */
package sycamoremast.coordination.workflow

internal enum class PlantedForgettingBug(val text: String) {
    FORGETS_AT_ONCE("the records of a workflow are deleted as soon as it has ended"),
    DELETES_IN_PARTS("the progress of a workflow is deleted in one transaction, the rest later"),
    EPOCH_IGNORED("a deletion takes effect whatever owner there is, each time that it arrives"),
    FORGETS_UNSEEN_DELETIONS("the owner forgets before it sees the deletion in the changes")
}
