/** Identifies what an owner recorded as its roster or as a heartbeat. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/** The record that the owner of [epoch] wrote with its batch number [batch]. */
@Serializable
data class RecordVersion(val epoch: Long, val batch: Long)
