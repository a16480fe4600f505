/** How long leases of workers may last, for the roster. */
package sycamoremast.coordination.workflow

/**
 * Times in milliseconds by worker ID: [fixed] for leases that this owner doesn't extend any more,
 * from now on; [draining] for those of draining workers, after another owner's claim; [stray] for
 * those that stray orders may have granted and that heartbeats don't bound, from now on.
 */
data class LeasesLeft(
    val fixed: Map<String, Long> = emptyMap(),
    val draining: Map<String, Long> = emptyMap(),
    val stray: Map<String, Long> = emptyMap()
) {
    companion object {
        val NONE = LeasesLeft()
    }
}
