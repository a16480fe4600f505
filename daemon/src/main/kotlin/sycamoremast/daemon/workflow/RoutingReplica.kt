/** Holds the newest configuration that this host has seen, and ignores older versions. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreListing
import sycamoremast.daemon.log.EventLog

/** Tracks the platform's configuration and calls [onUpdate] for each newer version. */
internal class RoutingReplica(
    private val catalog: PlatformCatalog,
    private val log: EventLog,
    private val onUpdate: (RoutingTable) -> Unit
) : PrefixListener {
    override val needsOnlyNewest = true

    /** The active routes, or null until a configuration has been read. */
    @Volatile
    var table: RoutingTable? = null
        private set

    override fun onListing(listing: StoreListing) {
        listing.entries.filter { it.key == catalog.routingKey }.forEach(::update)
    }

    override fun onChange(change: StoreChange) {
        val value = change.value ?: return
        if (change.key != catalog.routingKey) return
        update(StoreEntry(change.key, value, change.revision))
    }

    private fun update(entry: StoreEntry) {
        val next = catalog.routingOrNull(entry)
        if (next == null) {
            log.add("configuration-unreadable", "revision" to entry.version)
            return
        }
        val previous = table
        if (previous != null && next.version <= previous.version) return
        table = next
        log.add(
            "configuration",
            "version" to next.version,
            "before" to previous?.version,
            "routes" to next.routes.size,
            "revision" to entry.version
        )
        onUpdate(next)
    }
}
