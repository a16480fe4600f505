/** The relays among the registered hosts, over the peer network. */
package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentHashMap
import sycamoremast.daemon.peer.PeerConnections
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.RelayedOrder
import sycamoremast.daemon.peer.RelayedOrders

/** Takes the hosts of [registry] that are connected over [network] as relays. */
internal class PeerRelays<N>(private val network: N, private val registry: HostRegistry) :
    Relays where N : PeerNetwork, N : PeerConnections {
    private val known = ConcurrentHashMap<String, HostRecord>()

    override fun connect() {
        val hosts = registry.hosts
        val worthUsing = RelayChoice.worthUsing(hosts.map { (name, host) -> host.asRelay(name) })
        network.dial(worthUsing.mapNotNullTo(HashSet()) { hosts[it.name]?.peerAddress })
    }

    override fun connected(): List<RelayHost> {
        // An entry that lapsed while the store was out doesn't end a connection that works.
        known.putAll(registry.hosts)
        return network.connected().mapNotNull { peer ->
            known[peer.host]?.asRelay(peer.host)
        }
    }

    override fun send(host: String, orders: List<RelayedOrder>): Boolean =
        network.send(host, RelayedOrders(orders))

    private fun HostRecord.asRelay(name: String) = RelayHost(name, availabilityZone, strength)
}
