/** A limit of the leases that earlier owners granted a worker. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/**
 * The leases lapse [millis] after the store has reached [revision].
 *
 * Owners pass it on unchanged for a worker that doesn't answer them, so that nothing is added with
 * each of them.
 */
@Serializable
data class InheritedLease(val revision: Long, val millis: Long)
