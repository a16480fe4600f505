/** Messages about batch jobs. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests the shards that a host owns, with their jobs of [team], or of all teams if null. */
@Serializable
@SerialName("owned?")
data class OwnedShardsQuery(@SerialName("t") val team: String? = null) : PeerMessage

/** Answers [OwnedShardsQuery]. */
@Serializable
@SerialName("owned")
data class OwnedShards(@SerialName("s") val shards: List<OwnedShard>) : PeerMessage

/** A shard as seen by its owner in [epoch], with the jobs that are open or have running tasks. */
@Serializable
data class OwnedShard(
    @SerialName("z") val availabilityZone: String,
    @SerialName("n") val number: Int,
    @SerialName("e") val epoch: Long,
    @SerialName("j") val jobs: List<OwnedJob>
)

/** A job of an [OwnedShard]; if it is not [open], it has ended but some tasks still run. */
@Serializable
data class OwnedJob(
    @SerialName("t") val team: String,
    @SerialName("n") val name: String,
    @SerialName("a") val tasks: Int,
    @SerialName("f") val finished: Int,
    @SerialName("r") val running: Int,
    @SerialName("o") val open: Boolean
)
