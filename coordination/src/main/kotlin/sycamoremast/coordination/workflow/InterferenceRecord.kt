/** What an owner has learned about interference between tasks, recorded for its successor. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The [effects] of pairs of images, as estimated at [writtenUnixMillis]. */
@Serializable
data class InterferenceRecord(val effects: List<PairEffect>, val writtenUnixMillis: Long)

/**
 * The headroom that a task of image [neighbour] would cost a task of image [serving] if it used the
 * whole worker: the estimate and its variance.
 */
@Serializable
data class PairEffect(
    @SerialName("s") val serving: String,
    @SerialName("n") val neighbour: String,
    @SerialName("e") val effect: Double,
    @SerialName("v") val variance: Double
)
