/** The platform's list of workers. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable
import sycamoremast.coordination.Resources

/** The ID of a worker and the address of one of its incarnations. */
@Serializable
data class WorkerRef(val id: String, val address: String)

/**
 * The platform's entry of a worker; [labels] contain its kind and its rack.
 *
 * The incarnation that wrote the entry started at [startedUnixMillis], or null if that is unknown.
 * A later entry of the same worker has a higher [revision].
 */
data class WorkerListing(
    val ref: WorkerRef,
    val service: String,
    val availabilityZone: String,
    val capacity: Resources,
    val labels: List<String>,
    val isDraining: Boolean,
    val startedUnixMillis: Long? = null,
    val revision: Long = 0
) {
    /** Whether this was certainly written by a later incarnation than [other]. */
    fun isLaterThan(other: WorkerListing): Boolean {
        val before = other.startedUnixMillis ?: return false
        return startedUnixMillis != null && startedUnixMillis > before
    }
}
