/** Messages between the owner of a worker set and the hosts that may succeed it. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import sycamoremast.coordination.workflow.HeartbeatSighting

/**
 * The heartbeat [number] of the owner of [epoch]. Limits in its rosters so far of leases of the
 * workers [liftedLimits] may no longer hold.
 */
@Serializable
@SerialName("heartbeat")
data class OwnerHeartbeat(
    @SerialName("e") val epoch: Long,
    @SerialName("n") val number: Long,
    @SerialName("w") val liftedLimits: Set<String> = emptySet()
) : PeerMessage

/**
 * The acknowledgement of an [OwnerHeartbeat] by the process with the ID [process]: if it comes to own
 * the worker set, it assumes that the owner of [epoch] has granted leases by that heartbeat.
 *
 * It has read in the store, since its start, that this owner is the last one. If [recordsLimits], it
 * also assumes that the limits which the heartbeat names don't hold; hosts of earlier versions don't.
 */
@Serializable
@SerialName("heartbeat-known")
data class HeartbeatAcknowledgement(
    @SerialName("e") val epoch: Long,
    @SerialName("n") val number: Long,
    @SerialName("p") val process: String = "",
    @SerialName("r") val recordsLimits: Boolean = false
) : PeerMessage

/**
 * The announcement that the process with the ID [process] ends as planned. From now on it claims
 * nothing, acknowledges no heartbeat and answers no [StandbyQuery]. It knows of no owner after that
 * of [lastEpoch].
 */
@Serializable
@SerialName("standby-ended")
data class StandbyEnded(
    @SerialName("p") val process: String,
    @SerialName("l") val lastEpoch: Long
) : PeerMessage

/**
 * The question of the owner of [epoch] to the process with the ID [process], a standby of the owner
 * of [lastEpoch], and, if [isLastOwner], to the host of that owner. Without an ID, it is for any
 * process.
 */
@Serializable
@SerialName("standby-query")
data class StandbyQuery(
    @SerialName("e") val epoch: Long,
    @SerialName("l") val lastEpoch: Long,
    @SerialName("p") val process: String = "",
    @SerialName("o") val isLastOwner: Boolean = false
) : PeerMessage

/**
 * The answer of the process with the ID [process] to a [StandbyQuery]: in the last [millisAgo]
 * milliseconds, the sender has acknowledged no heartbeat of the owner of [lastEpoch], or, if
 * [isOwnerEnd], that owner, which was on the sender's host, had ended. The sender acknowledges none
 * of its heartbeats any more.
 *
 * [liftedLimits] gives the workers whose limits those heartbeats have lifted, by the number of the
 * last one that named them, or null if the sender doesn't know. [lastHeartbeat] is the last durable
 * heartbeat of that owner that the sender has seen.
 */
@Serializable
@SerialName("standby-answer")
data class StandbyAnswer(
    @SerialName("l") val lastEpoch: Long,
    @SerialName("a") val millisAgo: Long,
    @SerialName("w") val liftedLimits: Map<String, Long>? = null,
    @SerialName("o") val isOwnerEnd: Boolean = false,
    @SerialName("p") val process: String = "",
    @SerialName("h") val lastHeartbeat: HeartbeatSighting? = null
) : PeerMessage
