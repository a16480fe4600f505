/** One backend server, as this host uses it. */
package sycamoremast.daemon.request

import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost

/** A backend server; its mutable state is guarded by the directory that holds it. */
internal class Backend(val host: ListedHost) : AutoCloseable {
    val client = BackendClient(host.address, host.connections.coerceAtLeast(1))

    /** Requests of this host that hold one of the backend server's slots. */
    var inUse = 0

    /** Whether it has been seen to leave, on the list or by its own word. */
    var isLeaving = host.state == HostState.LEAVING

    fun isFree() = !isLeaving && inUse < host.slots

    override fun close() = client.close()
}
