/** Messages by which the owner of a worker set announces heartbeats that the store can't show. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The heartbeat [number] of the owner of [epoch]. */
@Serializable
@SerialName("heartbeat")
data class OwnerHeartbeat(
    @SerialName("e") val epoch: Long,
    @SerialName("n") val number: Long
) : PeerMessage

/**
 * The acknowledgement of an [OwnerHeartbeat]: if the sender comes to own the worker set, it assumes
 * that the owner of [epoch] has granted leases by that heartbeat.
 */
@Serializable
@SerialName("heartbeat-known")
data class HeartbeatAcknowledgement(
    @SerialName("e") val epoch: Long,
    @SerialName("n") val number: Long
) : PeerMessage
