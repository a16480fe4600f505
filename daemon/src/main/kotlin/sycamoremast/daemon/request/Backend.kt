/** The state that this host keeps about one backend server. */
package sycamoremast.daemon.request

import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.request.BackendHealth
import sycamoremast.coordination.request.ConcurrencyLimit

/** A backend server with its client and health; guarded by the dispatcher's lock. */
internal class Backend(val host: ListedHost) : AutoCloseable {
    val name: String get() = host.name
    val client = BackendClient(host.address, host.connections.coerceAtLeast(1))
    val health = BackendHealth()
    val concurrency = ConcurrencyLimit()

    /** The number of the server's slots that requests of this host occupy. */
    var slotsInUse = 0

    /** The time until which the server gets no requests, because it refused one while busy. */
    var busyUntilMillis = Long.MIN_VALUE

    /** The number of requests that all hosts together may run at once; each needs a connection. */
    val slots: Int get() = minOf(host.slots, host.connections)

    override fun close() = client.close()
}
