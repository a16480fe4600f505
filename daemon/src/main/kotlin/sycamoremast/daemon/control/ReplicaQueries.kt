/** Answers what other hosts ask about this host's configuration. */
package sycamoremast.daemon.control

import sycamoremast.daemon.peer.Documents
import sycamoremast.daemon.peer.DocumentsQuery
import sycamoremast.daemon.peer.InForce
import sycamoremast.daemon.peer.InForceQuery
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.Revisions
import sycamoremast.daemon.peer.RevisionsQuery

internal class ReplicaQueries(private val replica: ConfigurationReplica) {
    /** Begins to answer on [network]. */
    fun answerOn(network: PeerNetwork) {
        network.handle(Documents::class) { from, documents ->
            documents.texts.forEach { replica.offer(it, from) }
            null
        }
        network.handle(RevisionsQuery::class) { _, _ ->
            Revisions(replica.table.revisions(), replica.isSynced)
        }
        network.handle(DocumentsQuery::class) { _, query ->
            Documents(withinBound(replica.table.texts(query.teams)))
        }
        network.handle(InForceQuery::class) { _, query ->
            InForce(query.team, replica.inForceRevision(query.team))
        }
    }

    /** Returns the first of [texts], and as many more as fit into one message. */
    private fun withinBound(texts: List<String>): List<String> {
        var characters = 0
        return texts.takeWhile { text ->
            val isFirst = characters == 0
            characters += text.length
            isFirst || characters <= MAX_CHARACTERS
        }
    }

    private companion object {
        const val MAX_CHARACTERS = 500_000
    }
}
