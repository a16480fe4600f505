/** The settings of the batch scheduler. */
package sycamoremast.daemon.batch

import sycamoremast.coordination.lease.LeaseTiming
import sycamoremast.coordination.shard.BalanceTiming
import sycamoremast.coordination.shard.ShardSettings

/**
 * The settings of the batch scheduler.
 *
 * All hosts of an availability zone must have the same [shards], [workerLeaseMillis] and
 * [longestCutOffMillis], which limits how long an owner continues without access to the key-value
 * store. [marginMillis] bounds the drift between two hosts' monotonic clocks during one lease.
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
        require(shards > 0) { "the number of shards must be positive: $shards" }
        require(heartbeatMillis in 1 until workerLeaseMillis) {
            "heartbeat must be positive and below the lease: $heartbeatMillis, $workerLeaseMillis"
        }
    }

    /** Returns the number of the shard to which the worker or job with this [name] belongs. */
    fun shardOf(name: String): Int = Math.floorMod(name.hashCode(), shards)

    internal fun toShardSettings(owner: String, writer: String) = ShardSettings(
        owner = owner,
        writer = writer,
        ownerTiming = LeaseTiming(ownerLeaseMillis, marginMillis),
        workerTiming = LeaseTiming(workerLeaseMillis, marginMillis),
        heartbeatMillis = heartbeatMillis,
        maxStoreOutageMillis = longestCutOffMillis
    )
}
