/** The identity of the process at one end of a connection between entry hosts. */
package sycamoremast.daemon.peer

import kotlinx.serialization.Serializable

/** The process of an entry host; [peerAddress] is the IP number and port it listens on. */
@Serializable
data class PeerIdentity(
    val host: String,
    val availabilityZone: String,
    val peerAddress: String,
    val incarnation: Long
)
