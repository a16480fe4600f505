/**
 * Decides when a host hands a shard over to its preferred owner.
 *
 * Each host decides on its own, based on the hosts that it sees. A host is added or removed only
 * after it has been present or absent for a settling time, so that a flapping host moves no shard.
 * The assignment is only a preference: it never takes a shard from a live owner.
 */
package sycamoremast.coordination.shard

/**
 * Rate limits of shard balancing.
 *
 * A host must be present or absent for [settleMillis] before shards are moved because of it. A host
 * hands over at most one shard per [intervalMillis], and the same shard at most once per
 * [repeatIntervalMillis].
 */
data class BalanceTiming(
    val settleMillis: Long = 10_000,
    val intervalMillis: Long = 2_000,
    val repeatIntervalMillis: Long = 60_000
)

/** The hosts that should take a shard without an owner; null for one that is not live. */
data class Preference(val preferred: String?, val substitute: String?) {
    /** Returns the host that should take the shard after [lastOwner], or null if there is none. */
    fun nextOwner(lastOwner: String?): String? =
        if (preferred == lastOwner) substitute else preferred

    companion object {
        /** No host takes precedence. */
        val NONE = Preference(null, null)
    }
}

/** Balances the [shards] of an availability zone from the point of view of the host [self]. */
class OwnershipBalance(
    private val self: String,
    private val shards: List<String>,
    private val timing: BalanceTiming
) {
    private val settledHosts = sortedSetOf<String>()
    private val changedSinceMillis = HashMap<String, Long>()
    private val lastHandOverMillis = HashMap<Int, Long>()
    private var live = emptySet<String>()
    private var assignment = emptyList<String>()
    private var substitutes = emptyList<String?>()
    private var nextMillis = Long.MIN_VALUE

    /** Updates the hosts that are [live] and those that are only [suspect] at [nowMillis]. */
    fun observe(live: Set<String>, suspect: Set<String>, nowMillis: Long) {
        this.live = live
        val changed = (live - settledHosts) + (settledHosts - live - suspect)
        changedSinceMillis.keys.retainAll(changed)
        changed.forEach { changedSinceMillis.putIfAbsent(it, nowMillis) }
        val settled = changed.filter {
            nowMillis >= changedSinceMillis.getValue(it) + timing.settleMillis
        }
        if (settled.isEmpty()) return
        for (host in settled) if (!settledHosts.remove(host)) settledHosts += host
        assignment = assignShards(shards, settledHosts)
        substitutes = assignment.indices.map(::substituteOrNull)
    }

    /** Returns the hosts that should take the shard [index] when it has no owner. */
    fun preference(index: Int): Preference {
        if (assignment.isEmpty()) return Preference.NONE
        return Preference(
            assignment[index].takeIf { it in live },
            substitutes[index]?.takeIf { it in live }
        )
    }

    /** Returns the [owned] shard to hand over now and records the attempt, or null if none. */
    fun pollHandOver(owned: Collection<Int>, nowMillis: Long): Int? {
        if (nowMillis < nextMillis || assignment.isEmpty()) return null
        val next = owned.sorted().firstOrNull { isDue(it, nowMillis) } ?: return null
        lastHandOverMillis[next] = nowMillis
        nextMillis = nowMillis + timing.intervalMillis
        return next
    }

    private fun isDue(index: Int, nowMillis: Long): Boolean {
        val to = assignment[index]
        val last = lastHandOverMillis[index]
        return to != self &&
            to in live &&
            (last == null || nowMillis >= last + timing.repeatIntervalMillis)
    }

    private fun substituteOrNull(index: Int): String? =
        assignShards(shards, settledHosts - assignment[index]).getOrNull(index)
}
