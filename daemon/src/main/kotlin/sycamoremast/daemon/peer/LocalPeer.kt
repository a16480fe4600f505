/** The identity and the addresses under which a daemon listens for the other entry hosts. */
package sycamoremast.daemon.peer

/**
 * The identity and the addresses of this host as a peer.
 *
 * A [bindPort] of 0 selects a free port. [advertised] is the address that other hosts dial if it
 * differs from the bound one.
 */
data class LocalPeer(
    val host: String,
    val availabilityZone: String,
    val bindHost: String,
    val bindPort: Int,
    val advertised: String? = null
)

/** Splits [address] into its IP number and port. */
internal fun splitAddress(address: String): Pair<String, Int> {
    val host = address.substringBeforeLast(':')
    val port = address.substringAfterLast(':').toIntOrNull()
    require(host.isNotEmpty() && port != null) { "not an IP number with a port: $address" }
    return host to port
}
