/** Workers as the platform lists them. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable
import sycamoremast.coordination.Resources

/** Names one incarnation of a worker and where it is reached. */
@Serializable
data class WorkerRef(val id: String, val address: String)

/**
 * What the platform's list says of a worker; [labels] hold its kind and its rack.
 *
 * The incarnation that wrote it started at [startedUnixMillis], if that is known.
 */
data class WorkerListing(
    val ref: WorkerRef,
    val service: String,
    val availabilityZone: String,
    val capacity: Resources,
    val labels: List<String>,
    val isDraining: Boolean,
    val startedUnixMillis: Long? = null
) {
    /** Whether this was surely written by a later incarnation than [other]. */
    fun isLaterThan(other: WorkerListing): Boolean {
        val before = other.startedUnixMillis ?: return false
        return startedUnixMillis != null && startedUnixMillis > before
    }
}
