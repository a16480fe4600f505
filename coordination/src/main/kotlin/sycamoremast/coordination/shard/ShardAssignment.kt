/**
 * Which host of an availability zone should own which shard.
 *
 * Rendezvous hashing, bounded so that no host has two shards more than another: of all pairs of a
 * host and a shard, the one with the highest score is taken first, as long as the host has room. Any
 * two hosts that know the same hosts compute the same, without a word between them.
 */
package sycamoremast.coordination.shard

/** Returns the host of each shard of [shards], by its index; empty if there are no [hosts]. */
fun assignShards(shards: List<String>, hosts: Set<String>): List<String> {
    if (hosts.isEmpty()) return emptyList()
    val even = shards.size / hosts.size
    var larger = shards.size % hosts.size
    val loads = hosts.associateWithTo(HashMap()) { 0 }
    val owners = arrayOfNulls<String>(shards.size)
    for (pair in pairsByScore(shards, hosts)) {
        val load = loads.getValue(pair.host)
        val mayBeLarger = load == even && larger > 0
        if (owners[pair.shard] != null || (load >= even && !mayBeLarger)) continue
        if (mayBeLarger) larger--
        owners[pair.shard] = pair.host
        loads[pair.host] = load + 1
    }
    return owners.map { checkNotNull(it) { "a shard of $shards has no host of $hosts" } }
}

private class Pair(val host: String, val shard: Int, val score: Long)

private fun pairsByScore(shards: List<String>, hosts: Set<String>): List<Pair> =
    hosts.flatMap { host -> shards.mapIndexed { i, shard -> Pair(host, i, score(host, shard)) } }
        .sortedWith(compareByDescending<Pair> { it.score }.thenBy { it.host }.thenBy { it.shard })

/** The 64-bit FNV-1a hash of both names, with its bits mixed by a finalizer. */
private fun score(host: String, shard: String): Long {
    var hash = FNV_OFFSET
    for (byte in "$host/$shard".encodeToByteArray()) hash = (hash xor byte.toLong()) * FNV_PRIME
    hash = (hash xor (hash ushr FIRST_SHIFT)) * MIX
    return hash xor (hash ushr LAST_SHIFT)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val FIRST_SHIFT = 33
private const val LAST_SHIFT = 29
private const val MIX = -0xae502812aa7333L
