/** Identifies what an owner recorded as its roster. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/** The roster that the owner of [epoch] wrote with its batch number [batch]. */
@Serializable
data class RosterVersion(val epoch: Long, val batch: Long)
