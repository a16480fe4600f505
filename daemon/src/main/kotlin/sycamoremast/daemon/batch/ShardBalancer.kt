/** Balances the shards of the availability zone among its entry hosts. */
package sycamoremast.daemon.batch

import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.membership.MemberState
import sycamoremast.coordination.shard.OwnershipBalance
import sycamoremast.coordination.shard.Preference
import sycamoremast.coordination.shard.ShardEvent
import sycamoremast.daemon.control.MembershipView

/** Tells [loops] whom to let go first, and which one of them is to be handed over. */
internal class ShardBalancer(
    private val membership: MembershipView,
    private val loops: List<ShardLoop>,
    private val clock: MonotonicClock,
    settings: BatchSettings
) {
    private val self = membership.self
    private val balance =
        OwnershipBalance(self.host, loops.map { "${it.id}" }, settings.balance)
    private val told = HashMap<ShardId, Preference>()

    fun step() {
        val now = clock.nowMillis()
        balance.observe(inState(MemberState.LIVE), inState(MemberState.SUSPECT), now)
        loops.forEachIndexed { i, loop -> tell(loop, balance.preference(i)) }
        val owned = loops.indices.filter { loops[it].snapshot().isOwner }
        balance.pollHandOver(owned, now)?.let { loops[it].post(ShardEvent.HandOverRequested) }
    }

    private fun tell(loop: ShardLoop, preference: Preference) {
        if (told.put(loop.id, preference) != preference) {
            loop.post(ShardEvent.PreferenceListed(preference))
        }
    }

    private fun inState(state: MemberState): Set<String> = membership.members()
        .filter { it.availabilityZone == self.availabilityZone && it.state == state }
        .mapTo(HashSet()) { it.host }
}
