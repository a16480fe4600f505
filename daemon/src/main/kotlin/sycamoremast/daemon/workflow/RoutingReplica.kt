/** Holds the newest configuration that this host has seen; it never goes back to an older one. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreListing
import sycamoremast.daemon.log.EventLog

/** Follows the platform's configuration and calls [onNew] for each newer one. */
internal class RoutingReplica(
    private val catalog: PlatformCatalog,
    private val log: EventLog,
    private val onNew: (RoutingTable) -> Unit
) : PrefixListener {
    /** The routes in force, or null before any were seen. */
    @Volatile
    var table: RoutingTable? = null
        private set

    override fun onListing(listing: StoreListing) {
        listing.entries.filter { it.key == catalog.routingKey }.forEach(::take)
    }

    override fun onChange(change: StoreChange) {
        val value = change.value ?: return
        if (change.key != catalog.routingKey) return
        take(StoreEntry(change.key, value, change.revision))
    }

    private fun take(entry: StoreEntry) {
        val next = catalog.routingOrNull(entry)
        if (next == null) {
            log.add("configuration-unreadable", "revision" to entry.version)
            return
        }
        val before = table
        if (before != null && next.version <= before.version) return
        table = next
        log.add(
            "configuration",
            "version" to next.version,
            "before" to before?.version,
            "routes" to next.routes.size,
            "revision" to entry.version
        )
        onNew(next)
    }
}
