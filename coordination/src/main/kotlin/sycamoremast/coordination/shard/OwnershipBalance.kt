/**
 * When a host hands a shard over to the one that should own it.
 *
 * Each host decides by itself, from the hosts that it sees. A host counts only after it was seen for
 * a while, and until it was missed for a while, so that one that comes and goes moves nothing. The
 * assignment is a preference: it never takes a shard from an owner that lives.
 */
package sycamoremast.coordination.shard

/**
 * The pace of balancing.
 *
 * A host has to be seen, or missed, for [settleMillis] before shards are moved for it. A host hands
 * over one shard in [intervalMillis], and the same one again only after [againMillis].
 */
data class BalanceTiming(
    val settleMillis: Long = 10_000,
    val intervalMillis: Long = 2_000,
    val againMillis: Long = 60_000
)

/** The hosts that should take a shard when it is free; null for one that is not live now. */
data class Preference(val preferred: String?, val substitute: String?) {
    /** Returns who should take the shard after [lastOwner], or null if nobody goes first. */
    fun heirAfter(lastOwner: String?): String? =
        if (preferred == lastOwner) substitute else preferred

    companion object {
        /** Nobody goes first. */
        val NONE = Preference(null, null)
    }
}

/** The view of the host [self] of the [shards] of its availability zone. */
class OwnershipBalance(
    private val self: String,
    private val shards: List<String>,
    private val timing: BalanceTiming
) {
    private val counted = sortedSetOf<String>()
    private val changing = HashMap<String, Long>()
    private val handedOver = HashMap<Int, Long>()
    private var live = emptySet<String>()
    private var assignment = emptyList<String>()
    private var substitutes = emptyList<String?>()
    private var nextMillis = Long.MIN_VALUE

    /** Takes over which hosts are [live], and which others are only [suspect], at [nowMillis]. */
    fun observe(live: Set<String>, suspect: Set<String>, nowMillis: Long) {
        this.live = live
        val changed = (live - counted) + (counted - live - suspect)
        changing.keys.retainAll(changed)
        changed.forEach { changing.putIfAbsent(it, nowMillis) }
        val settled = changed.filter { nowMillis >= changing.getValue(it) + timing.settleMillis }
        if (settled.isEmpty()) return
        for (host in settled) if (!counted.remove(host)) counted += host
        assignment = assignShards(shards, counted)
        substitutes = assignment.indices.map(::substituteOrNull)
    }

    /** Returns who should take the shard [index] when it is free. */
    fun preference(index: Int): Preference {
        if (assignment.isEmpty()) return Preference.NONE
        return Preference(
            assignment[index].takeIf { it in live },
            substitutes[index]?.takeIf { it in live }
        )
    }

    /** Returns which of the [owned] shards to hand over now, or null if none; counts it as tried. */
    fun nextHandOver(owned: Collection<Int>, nowMillis: Long): Int? {
        if (nowMillis < nextMillis || assignment.isEmpty()) return null
        val next = owned.sorted().firstOrNull { isDue(it, nowMillis) } ?: return null
        handedOver[next] = nowMillis
        nextMillis = nowMillis + timing.intervalMillis
        return next
    }

    private fun isDue(index: Int, nowMillis: Long): Boolean {
        val to = assignment[index]
        val last = handedOver[index]
        return to != self &&
            to in live &&
            (last == null || nowMillis >= last + timing.againMillis)
    }

    private fun substituteOrNull(index: Int): String? =
        assignShards(shards, counted - assignment[index]).getOrNull(index)
}
