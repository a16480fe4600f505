/** Where and as whom a daemon listens for the other entry hosts. */
package sycamoremast.daemon.peer

/**
 * This host's place among its peers.
 *
 * Port 0 as [bindPort] takes a free one. [advertised] is the address that others dial where it
 * differs from the bound one.
 */
data class LocalPeer(
    val host: String,
    val availabilityZone: String,
    val bindHost: String,
    val bindPort: Int,
    val advertised: String? = null
)

/** Returns the IP number and the port in [address]. */
internal fun splitAddress(address: String): Pair<String, Int> {
    val host = address.substringBeforeLast(':')
    val port = address.substringAfterLast(':').toIntOrNull()
    require(host.isNotEmpty() && port != null) { "not an IP number with a port: $address" }
    return host to port
}
