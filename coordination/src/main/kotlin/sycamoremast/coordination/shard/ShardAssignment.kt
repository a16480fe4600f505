/**
 * Assigns the shards of an availability zone to its hosts.
 *
 * This is rendezvous hashing with bounded loads: the pairs of a host and a shard are considered in
 * descending order of their scores, and a host takes no more shards once it has its share. The
 * loads of two hosts differ by at most one shard. Hosts with the same view of the zone compute the
 * same assignment without communicating.
 */
package sycamoremast.coordination.shard

/** Returns the host of each shard, in the order of [shards], or an empty list without [hosts]. */
fun assignShards(shards: List<String>, hosts: Set<String>): List<String> {
    if (hosts.isEmpty()) return emptyList()
    val sharePerHost = shards.size / hosts.size
    var hostsWithExtra = shards.size % hosts.size
    val loads = hosts.associateWithTo(HashMap()) { 0 }
    val owners = arrayOfNulls<String>(shards.size)
    for (pair in rankedPairs(shards, hosts)) {
        val load = loads.getValue(pair.host)
        val canTakeExtra = load == sharePerHost && hostsWithExtra > 0
        if (owners[pair.shard] != null || (load >= sharePerHost && !canTakeExtra)) continue
        if (canTakeExtra) hostsWithExtra--
        owners[pair.shard] = pair.host
        loads[pair.host] = load + 1
    }
    return owners.map {
        checkNotNull(it) { "no host assigned to one of the shards $shards; hosts: $hosts" }
    }
}

private class HostShardScore(val host: String, val shard: Int, val score: Long)

private fun rankedPairs(shards: List<String>, hosts: Set<String>): List<HostShardScore> =
    hosts.flatMap { host ->
        shards.mapIndexed { i, shard -> HostShardScore(host, i, score(host, shard)) }
    }.sortedWith(
        compareByDescending<HostShardScore> { it.score }.thenBy { it.host }.thenBy { it.shard }
    )

/** Returns the 64-bit FNV-1a hash of both names, with its bits mixed by a finalizer. */
private fun score(host: String, shard: String): Long {
    var hash = FNV_OFFSET
    for (byte in "$host/$shard".encodeToByteArray()) hash = (hash xor byte.toLong()) * FNV_PRIME
    hash = (hash xor (hash ushr MIX_FIRST_SHIFT)) * MIX_FACTOR
    return hash xor (hash ushr MIX_LAST_SHIFT)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_FIRST_SHIFT = 33
private const val MIX_LAST_SHIFT = 29
private const val MIX_FACTOR = -0xae502812aa7333L
