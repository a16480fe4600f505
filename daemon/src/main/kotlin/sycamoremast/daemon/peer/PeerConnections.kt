/** Management of the connections to the other entry hosts. */
package sycamoremast.daemon.peer

/** Maintains connections to entry hosts. */
interface PeerConnections {
    /** Sets the addresses to which connections are maintained. */
    fun dial(addresses: Set<String>)

    /** Returns the hosts that are currently connected. */
    fun connected(): List<PeerIdentity>
}
