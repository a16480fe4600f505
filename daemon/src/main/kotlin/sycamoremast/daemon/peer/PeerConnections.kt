/** Which other entry hosts are to be connected to, and which are. */
package sycamoremast.daemon.peer

/** Keeps connections to entry hosts. */
interface PeerConnections {
    /** Sets the addresses to keep connections to. */
    fun dial(addresses: Set<String>)

    /** Returns the hosts that are connected now. */
    fun connected(): List<PeerIdentity>
}
