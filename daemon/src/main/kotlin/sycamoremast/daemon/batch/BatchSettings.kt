/** The settings of the batch scheduler. */
package sycamoremast.daemon.batch

import sycamoremast.coordination.lease.LeaseTiming
import sycamoremast.coordination.shard.BalanceTiming
import sycamoremast.coordination.shard.ShardSettings

/**
 * How batch work is scheduled.
 *
 * Every host of an availability zone must have the same number of [shards], [workerLeaseMillis] and
 * [longestCutOffMillis], for which an owner that is cut off from the service goes on. [marginMillis]
 * bounds how far two hosts' monotonic clocks drift apart during one lease.
 */
data class BatchSettings(
    val shards: Int = 1,
    val workerLeaseMillis: Long = 2_500,
    val heartbeatMillis: Long = 500,
    val ownerLeaseMillis: Long = 2_000,
    val marginMillis: Long = 200,
    val longestCutOffMillis: Long = ShardSettings.DEFAULT_MAX_STORE_OUTAGE_MILLIS,
    val balance: BalanceTiming = BalanceTiming()
) {
    init {
        require(shards > 0) { "there must be a shard: $shards" }
        require(heartbeatMillis in 1 until workerLeaseMillis) {
            "heartbeats must come within a lease: $heartbeatMillis of $workerLeaseMillis"
        }
    }

    /** Returns the number of the shard that a worker or a job called [name] belongs to. */
    fun shardOf(name: String): Int = Math.floorMod(name.hashCode(), shards)

    internal fun forShard(owner: String, writer: String) = ShardSettings(
        owner = owner,
        writer = writer,
        ownerTiming = LeaseTiming(ownerLeaseMillis, marginMillis),
        workerTiming = LeaseTiming(workerLeaseMillis, marginMillis),
        heartbeatMillis = heartbeatMillis,
        maxStoreOutageMillis = longestCutOffMillis
    )
}
