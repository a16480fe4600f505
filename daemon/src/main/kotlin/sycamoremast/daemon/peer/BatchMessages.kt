/** Messages about batch work. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks for the shards that a host owns, with their jobs of [team] or of every team. */
@Serializable
@SerialName("owned?")
data class OwnedShardsQuery(@SerialName("t") val team: String? = null) : PeerMessage

/** Answers [OwnedShardsQuery]. */
@Serializable
@SerialName("owned")
data class OwnedShards(@SerialName("s") val shards: List<OwnedShard>) : PeerMessage

/** A shard as its owner under [epoch] sees it, with the jobs that are open or have tasks running. */
@Serializable
data class OwnedShard(
    @SerialName("z") val availabilityZone: String,
    @SerialName("n") val number: Int,
    @SerialName("e") val epoch: Long,
    @SerialName("j") val jobs: List<OwnedJob>
)

/** A job of an [OwnedShard]; one that is not [open] has ended, but some of its tasks have not. */
@Serializable
data class OwnedJob(
    @SerialName("t") val team: String,
    @SerialName("n") val name: String,
    @SerialName("a") val tasks: Int,
    @SerialName("f") val finished: Int,
    @SerialName("r") val running: Int,
    @SerialName("o") val open: Boolean
)
