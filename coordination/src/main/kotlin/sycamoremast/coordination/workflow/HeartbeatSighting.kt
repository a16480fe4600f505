package sycamoremast.coordination.workflow

import kotlinx.serialization.Serializable

/**
 * The last durable heartbeat that a host has seen in the store, [version], which was written at least
 * [millisAgo] milliseconds ago by that host's clock.
 */
@Serializable
data class HeartbeatSighting(val version: RecordVersion, val millisAgo: Long)
