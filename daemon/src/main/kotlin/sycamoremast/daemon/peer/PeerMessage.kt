/**
 * Messages between entry hosts, encoded as CBOR.
 *
 * The messages of each part of the daemon are declared in a file of their own in this package.
 */
package sycamoremast.daemon.peer

import kotlinx.serialization.Serializable

/** A message between two entry hosts. */
@Serializable
sealed interface PeerMessage
