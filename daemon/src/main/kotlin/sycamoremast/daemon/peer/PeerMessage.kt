/**
 * Messages between entry hosts, encoded as CBOR.
 *
 * Each part of the daemon declares its own messages in this package, one file a part.
 */
package sycamoremast.daemon.peer

import kotlinx.serialization.Serializable

/** A message between two entry hosts. */
@Serializable
sealed interface PeerMessage
