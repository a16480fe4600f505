/** The addresses to which the parts of a host need connections. */
package sycamoremast.daemon.workflow

import sycamoremast.daemon.peer.PeerConnections

/** Keeps [network] connected to all [relays] and [standbys]. */
internal class PeerTargets(private val network: PeerConnections) {
    var relays: Set<String> = emptySet()
        @Synchronized set(value) {
            field = value
            dial()
        }

    var standbys: Set<String> = emptySet()
        @Synchronized set(value) {
            field = value
            dial()
        }

    private fun dial() = network.dial(relays + standbys)
}
