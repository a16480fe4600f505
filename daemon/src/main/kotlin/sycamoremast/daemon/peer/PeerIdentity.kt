/** Who is at an end of a connection between entry hosts. */
package sycamoremast.daemon.peer

import kotlinx.serialization.Serializable

/** An entry host's process; [peerAddress] is where it listens, as an IP number and a port. */
@Serializable
data class PeerIdentity(
    val host: String,
    val availabilityZone: String,
    val peerAddress: String,
    val incarnation: Long
)
