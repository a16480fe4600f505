/**
 * The limits in the roster that no longer hold, although the roster can't be recorded anew.
 *
 * In an outage of the store, the heartbeats that the owner announces name the workers that answer
 * again. Once one counts that names a worker, its limit is lifted: whichever standby takes over
 * counts from the last heartbeat that it acknowledged, as for other workers. A limit is lifted only
 * before the last lease has lapsed, as no run is left on the worker after that.
 *
 * The leases are as short as those of draining workers. A host that knows nothing of lifted limits
 * but when the owner had ended has to assume that all of them were.
 */
package sycamoremast.coordination.workflow

internal class LiftedLimits(private val fleet: Fleet) {
    /**
     * The workers that announcements name, by the number of the first one.
     *
     * All later ones name them too, until their limits are gone or a roster limits them anew.
     */
    private val named = LinkedHashMap<String, Long>()

    /** Returns the workers to name in the announcement [number], which is formed now. */
    fun namesFor(number: Long, nowMillis: Long): Set<String> {
        named.keys.retainAll(fleet.leaseLimits.ended)
        val added = fleet.leaseLimits.ended.filter { it !in named && isLiftable(it, nowMillis) }
        val room = MAX_NAMED - named.size
        added.take(room).forEach { named[it] = number }
        if (added.size > room) {
            fleet.log(
                "limits-not-lifted",
                "epoch-${fleet.epoch}",
                "workers" to added.size - room,
                "first" to added.drop(room).take(MAX_LOGGED).joinToString(","),
                "named" to named.size
            )
        }
        return named.keys.toSet()
    }

    private fun isLiftable(id: String, nowMillis: Long): Boolean {
        val worker = fleet.workers[id] ?: return false
        return !worker.isWithoutContact && worker.lease.remainingMillis(nowMillis) > 0
    }

    /** Records that a roster is formed now which limits the leases of the [limited] workers. */
    fun onRosterFormed(limited: Set<String>) {
        named.keys -= limited
    }

    /**
     * Records that all standbys know the workers that the announcement [number] named, and that this
     * heartbeat counts.
     */
    fun onKnown(number: Long) {
        val known = named.filterValues { it <= number }.keys
        val added = known - fleet.leaseLimits.lifted
        if (added.isEmpty()) return
        fleet.leaseLimits = fleet.leaseLimits.copy(lifted = fleet.leaseLimits.lifted + added)
        fleet.isPlacementDue = true
        fleet.log(
            "limits-lifted",
            "epoch-${fleet.epoch}",
            "workers" to added.size,
            "first" to added.take(MAX_LOGGED).joinToString(",")
        )
    }

    private companion object {
        /** Keeps announcements to many hosts small; more workers are rarely silent for a moment. */
        const val MAX_NAMED = 32
        const val MAX_LOGGED = 4
    }
}
