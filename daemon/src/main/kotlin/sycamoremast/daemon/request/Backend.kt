/** One backend server, as this host uses it. */
package sycamoremast.daemon.request

import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.request.BackendHealth
import sycamoremast.coordination.request.ConcurrencyLimit

/** A backend server; its mutable state is guarded by the dispatcher's lock. */
internal class Backend(val host: ListedHost) : AutoCloseable {
    val name: String get() = host.name
    val client = BackendClient(host.address, host.connections.coerceAtLeast(1))
    val health = BackendHealth()
    val concurrency = ConcurrencyLimit()

    /** Requests of this host that hold one of the backend server's slots. */
    var inUse = 0

    /** Whether the server refused for want of a slot, so that it is left alone until then. */
    var busyUntilMillis = Long.MIN_VALUE

    /** The requests that all hosts together may send at a time; each needs a connection, too. */
    val slots: Int get() = minOf(host.slots, host.connections)

    override fun close() = client.close()
}
