/** How long leases of workers may last, for the roster. */
package sycamoremast.coordination.workflow

/**
 * Times in milliseconds by worker ID: [fixed] for leases that this owner doesn't extend any more,
 * from now on; [draining] for those of draining workers, after another owner's claim. [inherited]
 * passes on limits of leases of earlier owners.
 */
data class LeasesLeft(
    val fixed: Map<String, Long> = emptyMap(),
    val draining: Map<String, Long> = emptyMap(),
    val inherited: Map<String, InheritedLease> = emptyMap()
) {
    companion object {
        val NONE = LeasesLeft()
    }
}
