/** Uses registered hosts as relays, over the peer network. */
package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentHashMap
import sycamoremast.daemon.peer.PeerConnections
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.RelayedOrder
import sycamoremast.daemon.peer.RelayedOrders

/** Offers the hosts of [registry] that are connected over [network] as relays. */
internal class PeerRelays<N>(
    private val network: N,
    private val targets: PeerTargets,
    private val registry: HostRegistry
) : Relays where N : PeerNetwork, N : PeerConnections {
    private val knownHosts = ConcurrentHashMap<String, HostRecord>()

    override fun connect() {
        val hosts = registry.hosts
        val eligible = RelayChoice.eligible(hosts.map { (name, host) -> host.toRelayHost(name) })
        targets.relays = eligible.mapNotNullTo(HashSet()) { hosts[it.name]?.peerAddress }
    }

    override fun connected(): List<RelayHost> {
        // An entry that expired during an outage of the store doesn't end a working connection.
        knownHosts.putAll(registry.hosts)
        return network.connected().mapNotNull { peer ->
            knownHosts[peer.host]?.toRelayHost(peer.host)
        }
    }

    override fun send(host: String, orders: List<RelayedOrder>): Boolean =
        network.send(host, RelayedOrders(orders))

    private fun HostRecord.toRelayHost(name: String) = RelayHost(name, availabilityZone, strength)
}
