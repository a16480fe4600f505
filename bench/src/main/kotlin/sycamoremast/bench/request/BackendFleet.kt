/** The backend servers of an experiment, listed as the platform would list them. */
package sycamoremast.bench.request

import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.standins.BackendServer
import sycamoremast.standins.BackendSettings

internal const val SERVICE = "reports"
internal const val ZONE = "sigulda"

/** [size] backend servers of 8 slots and 64 connections. */
internal class BackendFleet(size: Int) : AutoCloseable {
    val servers = List(size) { BackendServer.start(BackendSettings()) }

    /** The slots of all servers together. */
    val slots = size * BackendSettings().slots

    fun listed(): List<ListedHost> = servers.mapIndexed { i, server ->
        ListedHost(
            name = "backend-$i",
            address = "127.0.0.1:${server.port}",
            availabilityZone = ZONE,
            rack = "rack-0",
            role = HostRole.BACKEND_SERVER,
            state = HostState.LIVE,
            service = SERVICE,
            slots = BackendSettings().slots,
            connections = BackendSettings().connections
        )
    }

    /** Requests that the servers refused for want of a slot or connection. */
    fun refused(): Long = servers.sumOf { it.usage().refused }

    override fun close() = servers.forEach { it.close() }
}
