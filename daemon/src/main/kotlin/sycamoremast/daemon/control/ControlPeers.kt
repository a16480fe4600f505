/** Access of the control plane to the peer network. */
package sycamoremast.daemon.control

import sycamoremast.daemon.peer.PeerConnections
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.TcpPeerNetwork

/** Messages to and connections with the other hosts, which reach this one at [ownAddress]. */
class ControlPeers(
    val network: PeerNetwork,
    val connections: PeerConnections,
    val ownAddress: () -> String
) {
    /** Returns the connected hosts of [availabilityZone]. */
    internal fun zonePeers(availabilityZone: String): List<String> =
        connections.connected().filter { it.availabilityZone == availabilityZone }.map { it.host }

    companion object {
        /** Returns the access to a [network] that has been started. */
        fun of(network: TcpPeerNetwork) = ControlPeers(network, network) { network.address }
    }
}
