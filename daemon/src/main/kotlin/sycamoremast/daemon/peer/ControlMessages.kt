/** Messages about membership and configuration. */
package sycamoremast.daemon.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Exchanged with each connected host; the receiver replies with its own if [requestsReply].
 *
 * [digest] is a digest of the revisions that the sender has. [relayVersion] is the version of the
 * sender's relay key if it is its zone's relay, else 0. [watching] tells whether the sender is a
 * relay that currently receives changes from the key-value service. [synced] tells whether its
 * replica of the configuration is synced.
 */
@Serializable
@SerialName("hb")
data class Heartbeat(
    @SerialName("n") val incarnation: Long,
    @SerialName("d") val digest: Long,
    @SerialName("r") val relayVersion: Long = 0,
    @SerialName("w") val watching: Boolean = false,
    @SerialName("s") val synced: Boolean = false,
    @SerialName("q") val requestsReply: Boolean = false
) : PeerMessage

/** Announces that the sender is shutting down. */
@Serializable
@SerialName("bye")
data class Leaving(val incarnation: Long) : PeerMessage

/** Distributes the hosts that are registered in the key-value service. */
@Serializable
@SerialName("reg")
data class RegisteredHosts(val hosts: List<PeerIdentity>) : PeerMessage

/** Distributes the [texts] of configuration documents as stored in the key-value service. */
@Serializable
@SerialName("docs")
data class Documents(val texts: List<String>) : PeerMessage

/** Requests the revisions that a host has, by team. */
@Serializable
@SerialName("rev?")
data object RevisionsQuery : PeerMessage

/** Answers [RevisionsQuery]; [synced] tells whether the replica of the sender is synced. */
@Serializable
@SerialName("rev")
data class Revisions(val byTeam: Map<String, Long>, val synced: Boolean) : PeerMessage

/** Requests the documents of [teams]; the [Documents] in the answer may be only some of them. */
@Serializable
@SerialName("docs?")
data class DocumentsQuery(val teams: List<String>) : PeerMessage

/** Requests the revision of [team] that is in force on a host. */
@Serializable
@SerialName("force?")
data class InForceQuery(val team: String) : PeerMessage

/** Answers [InForceQuery]. */
@Serializable
@SerialName("force")
data class InForceRevision(val team: String, val revision: Long) : PeerMessage
