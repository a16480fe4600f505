/** Messages about membership and configuration. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Exchanged with each connected host; one that [asks] is answered by another.
 *
 * [digest] sums up the revisions that the sender holds. [relayVersion] is the version of the
 * sender's relay key if it is its zone's relay, else 0; [watching] tells whether it then sees the
 * changes in the key-value service.
 */
@Serializable
@SerialName("hb")
data class Heartbeat(
    @SerialName("n") val incarnation: Long,
    @SerialName("d") val digest: Long,
    @SerialName("r") val relayVersion: Long = 0,
    @SerialName("w") val watching: Boolean = false,
    @SerialName("s") val synced: Boolean = false,
    @SerialName("q") val asks: Boolean = false
) : PeerMessage

/** Tells that the sender is about to end. */
@Serializable
@SerialName("bye")
data class Leaving(val incarnation: Long) : PeerMessage

/** Passes on the hosts that are registered in the key-value service. */
@Serializable
@SerialName("reg")
data class RegisteredHosts(val hosts: List<PeerIdentity>) : PeerMessage

/** Passes on configuration documents as they stand in the key-value service. */
@Serializable
@SerialName("docs")
data class Documents(val texts: List<String>) : PeerMessage

/** Asks for the revisions that a host holds, by team. */
@Serializable
@SerialName("rev?")
data object RevisionsQuery : PeerMessage

/** Answers [RevisionsQuery]; [synced] tells whether they came from the service or such a host. */
@Serializable
@SerialName("rev")
data class Revisions(val byTeam: Map<String, Long>, val synced: Boolean) : PeerMessage

/** Asks for the documents of [teams]; answered by [Documents], which may be some of them. */
@Serializable
@SerialName("docs?")
data class DocumentsQuery(val teams: List<String>) : PeerMessage

/** Asks which revision of [team] is in force. */
@Serializable
@SerialName("force?")
data class InForceQuery(val team: String) : PeerMessage

/** Answers [InForceQuery]. */
@Serializable
@SerialName("force")
data class InForce(val team: String, val revision: Long) : PeerMessage
