/**
 * Fills gaps in the configuration from other hosts.
 *
 * A host whose heartbeats show other revisions than are held here, for longer than a change takes
 * to arrive by the relay, is asked for its revisions and then for the documents that are newer.
 */
package sycamoremast.daemon.control

import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.tinylog.kotlin.Logger
import sycamoremast.daemon.log.event
import sycamoremast.daemon.peer.Documents
import sycamoremast.daemon.peer.DocumentsQuery
import sycamoremast.daemon.peer.Revisions
import sycamoremast.daemon.peer.RevisionsQuery

internal class PeerCatchUp(
    private val context: ControlContext,
    private val replica: ConfigurationReplica,
    private val peers: ControlPeers,
    private val after: Duration
) {
    private val differing = ConcurrentHashMap<String, Difference>()
    private val compared = ConcurrentHashMap<String, Pair<Long, Long>>()

    /** Takes note of the [digest] in a heartbeat of [host]. */
    fun heard(host: String, digest: Long) {
        val own = replica.table.digest()
        if (digest == own || compared[host] == own to digest) {
            differing.remove(host)
        } else {
            differing.computeIfAbsent(host) { Difference(context.nowMillis()) }.digest = digest
        }
    }

    /** Asks one host for what it may have newer. */
    fun step() {
        if (!replica.isSynced) {
            syncFromPeers()
            return
        }
        val now = context.nowMillis()
        val due = differing.filterValues {
            now - it.sinceMillis >= after.inWholeMilliseconds
        }.entries.toList()
        val (host, difference) = due.randomOrNull(context.timing.random) ?: return
        fetchFrom(host) ?: return
        compared[host] = replica.table.digest() to difference.digest
        differing.remove(host)
    }

    /** Takes the newest documents of all connected hosts; one of them must be in sync. */
    private fun syncFromPeers() {
        val answers = peers.connections.connected().mapNotNull { fetchFrom(it.host) }
        if (answers.none { it.synced }) return
        val held = replica.table.revisions()
        val complete = answers.all { answer ->
            answer.byTeam.all { (team, revision) -> (held[team] ?: 0) >= revision }
        }
        if (complete) replica.markSynced()
    }

    /** Fetches what [host] holds newer; returns its revisions, or null if it did not answer. */
    private fun fetchFrom(host: String): Revisions? {
        val revisions = peers.network.ask(host, RevisionsQuery, ASK_TIMEOUT).getOrNull()
            as? Revisions ?: return null
        var missing = missingOf(revisions)
        while (missing.isNotEmpty()) {
            val answer = peers.network.ask(host, DocumentsQuery(missing), ASK_TIMEOUT).getOrNull()
                as? Documents ?: return null
            answer.texts.forEach { replica.offer(it, host) }
            val left = missingOf(revisions)
            if (left.size >= missing.size) return null
            missing = left
        }
        Logger.debug { event("configuration-compared", "peer" to host) }
        return revisions
    }

    private fun missingOf(revisions: Revisions): List<String> {
        val held = replica.table.revisions()
        return revisions.byTeam.filter { (team, revision) -> revision > (held[team] ?: 0) }
            .keys.sorted()
    }

    private class Difference(val sinceMillis: Long) {
        @Volatile
        var digest = 0L
    }

    private companion object {
        val ASK_TIMEOUT = 2.seconds
    }
}
