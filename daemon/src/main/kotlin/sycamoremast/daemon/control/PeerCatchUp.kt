/**
 * Fetches configuration documents that this host lacks from other hosts.
 *
 * A host whose heartbeats carry a different digest for longer than a change takes to arrive through
 * the relay is asked for its revisions, and then for the documents that are newer there.
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

/** Compares digests of revisions and fetches newer documents from peers after [delay]. */
internal class PeerCatchUp(
    private val context: ControlContext,
    private val replica: ConfigurationReplica,
    private val peers: ControlPeers,
    private val delay: Duration
) {
    private val mismatches = ConcurrentHashMap<String, DigestMismatch>()

    /** The own digest and the peer's digest as of the last comparison of revisions, by host. */
    private val comparedDigests = ConcurrentHashMap<String, Pair<Long, Long>>()

    /** Records the [digest] from a heartbeat of [host]. */
    fun recordDigest(host: String, digest: Long) {
        val own = replica.table.digest()
        if (digest == own || comparedDigests[host] == own to digest) {
            mismatches.remove(host)
        } else {
            mismatches.computeIfAbsent(host) { DigestMismatch(context.nowMillis()) }.digest = digest
        }
    }

    /** Fetches newer documents from one host whose digest differs. */
    fun step() {
        if (!replica.isSynced) {
            syncFromPeers()
            return
        }
        val now = context.nowMillis()
        val due = mismatches.filterValues {
            now - it.sinceMillis >= delay.inWholeMilliseconds
        }.entries.toList()
        val (host, mismatch) = due.randomOrNull(context.timing.random) ?: return
        fetchFrom(host) ?: return
        comparedDigests[host] = replica.table.digest() to mismatch.digest
        mismatches.remove(host)
    }

    /**
     * Fetches newer documents from all connected hosts.
     *
     * Marks the replica synced if it then lacks none of theirs and at least one of them is synced.
     */
    private fun syncFromPeers() {
        val replies = peers.connections.connected().mapNotNull { fetchFrom(it.host) }
        if (replies.none { it.synced }) return
        val held = replica.table.revisions()
        val complete = replies.all { reply ->
            reply.byTeam.all { (team, revision) -> (held[team] ?: 0) >= revision }
        }
        if (complete) replica.markSynced()
    }

    /**
     * Fetches the newer documents of [host] and returns its revisions.
     *
     * Returns null if it does not answer, or if an answer brings no missing document.
     */
    private fun fetchFrom(host: String): Revisions? {
        val revisions = peers.network.ask(host, RevisionsQuery, QUERY_TIMEOUT).getOrNull()
            as? Revisions ?: return null
        var missing = missingTeams(revisions)
        while (missing.isNotEmpty()) {
            val answer = peers.network.ask(host, DocumentsQuery(missing), QUERY_TIMEOUT).getOrNull()
                as? Documents ?: return null
            answer.texts.forEach { replica.offer(it, host) }
            val remaining = missingTeams(revisions)
            if (remaining.size >= missing.size) return null
            missing = remaining
        }
        Logger.debug { event("configuration-compared", "peer" to host) }
        return revisions
    }

    private fun missingTeams(revisions: Revisions): List<String> {
        val held = replica.table.revisions()
        return revisions.byTeam.filter { (team, revision) -> revision > (held[team] ?: 0) }
            .keys.sorted()
    }

    private class DigestMismatch(val sinceMillis: Long) {
        @Volatile
        var digest = 0L
    }

    private companion object {
        val QUERY_TIMEOUT = 2.seconds
    }
}
