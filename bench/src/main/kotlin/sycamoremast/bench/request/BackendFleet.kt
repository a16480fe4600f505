/** The backend servers of an experiment and their entries in the host list. */
package sycamoremast.bench.request

import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.standins.BackendServer
import sycamoremast.standins.BackendSettings

internal const val SERVICE = "reports"
internal const val ZONE = "sigulda"

/** Runs [size] backend servers in this process, each with 8 slots and 64 connections. */
internal class BackendFleet(size: Int) : AutoCloseable {
    val servers = List(size) { BackendServer.start(BackendSettings()) }

    /** The total number of slots of all servers. */
    val totalSlots = size * BackendSettings().slots

    /** Returns the servers as host list entries. */
    fun hostListEntries(): List<ListedHost> = servers.mapIndexed { i, server ->
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

    /** Returns how many requests the servers refused because no slot or connection was free. */
    fun refusedRequests(): Long = servers.sumOf { it.usage().refused }

    override fun close() = servers.forEach { it.close() }
}
