/** Handlers for the messages of other hosts about configuration documents. */
package sycamoremast.daemon.control

import sycamoremast.daemon.peer.Documents
import sycamoremast.daemon.peer.DocumentsQuery
import sycamoremast.daemon.peer.InForceQuery
import sycamoremast.daemon.peer.InForceRevision
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.Revisions
import sycamoremast.daemon.peer.RevisionsQuery

/** Takes in documents sent by peers and answers their queries from [replica]. */
internal class ReplicaQueryHandlers(private val replica: ConfigurationReplica) {
    /** Registers the handlers with [network]. */
    fun registerOn(network: PeerNetwork) {
        network.handle(Documents::class) { from, documents ->
            documents.texts.forEach { replica.offer(it, from) }
            null
        }
        network.handle(RevisionsQuery::class) { _, _ ->
            Revisions(replica.table.revisions(), replica.isSynced)
        }
        network.handle(DocumentsQuery::class) { _, query ->
            Documents(limitToMessage(replica.table.texts(query.teams)))
        }
        network.handle(InForceQuery::class) { _, query ->
            InForceRevision(query.team, replica.inForceRevision(query.team))
        }
    }

    /** Returns the first of [texts] and as many of the next ones as fit into one message. */
    private fun limitToMessage(texts: List<String>): List<String> {
        var characters = 0
        return texts.takeWhile { text ->
            val isFirst = characters == 0
            characters += text.length
            isFirst || characters <= MAX_MESSAGE_CHARACTERS
        }
    }

    private companion object {
        const val MAX_MESSAGE_CHARACTERS = 500_000
    }
}
