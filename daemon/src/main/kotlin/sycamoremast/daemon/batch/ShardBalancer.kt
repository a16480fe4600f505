/** Balances the shards of an availability zone among its entry hosts. */
package sycamoremast.daemon.batch

import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.membership.MemberState
import sycamoremast.coordination.shard.OwnershipBalance
import sycamoremast.coordination.shard.Preference
import sycamoremast.coordination.shard.ShardEvent
import sycamoremast.daemon.control.MembershipView

/** Sends [loops] the preferred owners of their shards, and requests hand-overs that are due. */
internal class ShardBalancer(
    private val membership: MembershipView,
    private val loops: List<ShardLoop>,
    private val clock: MonotonicClock,
    settings: BatchSettings
) {
    private val self = membership.self
    private val balance =
        OwnershipBalance(self.host, loops.map { "${it.id}" }, settings.balance)
    private val lastPosted = HashMap<ShardId, Preference>()

    /** Updates the balance from the current membership and posts the resulting events. */
    fun step() {
        val now = clock.nowMillis()
        balance.observe(hostsInState(MemberState.LIVE), hostsInState(MemberState.SUSPECT), now)
        loops.forEachIndexed { i, loop -> postIfChanged(loop, balance.preference(i)) }
        val owned = loops.indices.filter { loops[it].snapshot().isOwner }
        balance.pollHandOver(owned, now)?.let { loops[it].post(ShardEvent.HandOverRequested) }
    }

    private fun postIfChanged(loop: ShardLoop, preference: Preference) {
        if (lastPosted.put(loop.id, preference) != preference) {
            loop.post(ShardEvent.PreferenceListed(preference))
        }
    }

    private fun hostsInState(state: MemberState): Set<String> = membership.members()
        .filter { it.availabilityZone == self.availabilityZone && it.state == state }
        .mapTo(HashSet()) { it.host }
}
