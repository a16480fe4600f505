/** Messages between the owner of a worker set and the hosts that may succeed it. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The heartbeat [number] of the owner of [epoch]. */
@Serializable
@SerialName("heartbeat")
data class OwnerHeartbeat(@SerialName("e") val epoch: Long, @SerialName("n") val number: Long) :
    PeerMessage

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

/** The question of the owner of [epoch] to a standby of the owner of [lastEpoch]. */
@Serializable
@SerialName("standby-query")
data class StandbyQuery(@SerialName("e") val epoch: Long, @SerialName("l") val lastEpoch: Long) :
    PeerMessage

/**
 * The answer to a [StandbyQuery]: the sender has acknowledged no heartbeat of the owner of
 * [lastEpoch] in the last [millisAgo] milliseconds, and acknowledges none any more.
 */
@Serializable
@SerialName("standby-answer")
data class StandbyAnswer(
    @SerialName("l") val lastEpoch: Long,
    @SerialName("a") val millisAgo: Long
) : PeerMessage
