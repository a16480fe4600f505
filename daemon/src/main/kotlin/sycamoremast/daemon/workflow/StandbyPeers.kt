/**
 * Announces the owner's heartbeats to standbys over the peer network, and acknowledges those of
 * other owners.
 *
 * A host that has the store doesn't acknowledge any, so that an owner which alone has lost it gives
 * way. Connections to standbys are opened for the first message, and not opened again some time
 * after the last.
 */
package sycamoremast.daemon.workflow

import java.util.concurrent.ConcurrentHashMap
import sycamoremast.coordination.MonotonicClock
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.HeartbeatAcknowledgement
import sycamoremast.daemon.peer.OwnerHeartbeat
import sycamoremast.daemon.peer.PeerMessage
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.StandbyAnswer
import sycamoremast.daemon.peer.StandbyQuery

/** The decision of a host whether it acknowledges an owner's heartbeat. */
internal enum class HeartbeatDecision {
    ACKNOWLEDGED,
    STORE_AVAILABLE,

    /** The owner isn't the last one that this host knows of, or its last heartbeat is too old. */
    OWNER_OUTDATED
}

/** Exchanges heartbeats with the hosts of [registry] over [network], for the host [ownName]. */
internal class StandbyPeers(
    override val ownName: String,
    private val network: PeerNetwork,
    private val targets: PeerTargets,
    private val registry: HostRegistry,
    private val clock: MonotonicClock,
    private val log: EventLog
) : StandbyLinks {
    /** Records for a later claim that the owner of an epoch goes on, if that is the last epoch. */
    @Volatile
    var acknowledge: (epoch: Long) -> Boolean = { false }

    /** Whether this host has the store. */
    @Volatile
    var hasStore: () -> Boolean = { true }

    /** Returns how long ago this host last acknowledged a heartbeat, and ends that for good. */
    @Volatile
    var answer: (StandbyQuery) -> Long = { 0 }

    /** Called with the answer of a host to this one's query. */
    @Volatile
    var onAnswered: (host: String, answer: StandbyAnswer) -> Unit = { _, _ -> }

    /** Called with the host and the number of a heartbeat that it has acknowledged. */
    @Volatile
    var onAcknowledged: (host: String, epoch: Long, number: Long) -> Unit = { _, _, _ -> }

    /** The addresses of hosts, also of those whose entries have expired in an outage. */
    private val addresses = ConcurrentHashMap<String, String>()

    /** The last decision on the heartbeats of each host. */
    private val decisions = ConcurrentHashMap<String, HeartbeatDecision>()

    @Volatile
    private var lastUsedMillis: Long? = null

    override val registeredHosts: Set<String>
        get() {
            noteAddresses()
            return registry.hosts.keys
        }

    fun start() {
        network.handle(OwnerHeartbeat::class) { from, heartbeat ->
            if (decide(from, heartbeat.epoch) == HeartbeatDecision.ACKNOWLEDGED) {
                send(from, HeartbeatAcknowledgement(heartbeat.epoch, heartbeat.number))
            }
            null
        }
        network.handle(StandbyQuery::class) { from, query ->
            val millisAgo = answer(query)
            log.add(
                "standby-queried",
                "peer" to from,
                "epoch" to query.epoch,
                "lastEpoch" to query.lastEpoch,
                "acknowledgedMillisAgo" to millisAgo
            )
            send(from, StandbyAnswer(query.lastEpoch, millisAgo))
            null
        }
        network.handle(StandbyAnswer::class) { from, answer ->
            onAnswered(from, answer)
            null
        }
        network.handle(HeartbeatAcknowledgement::class) { from, acknowledgement ->
            onAcknowledged(from, acknowledgement.epoch, acknowledgement.number)
            null
        }
    }

    private fun decide(from: String, epoch: Long): HeartbeatDecision {
        val decision = when {
            hasStore() -> HeartbeatDecision.STORE_AVAILABLE
            acknowledge(epoch) -> HeartbeatDecision.ACKNOWLEDGED
            else -> HeartbeatDecision.OWNER_OUTDATED
        }
        if (decisions.put(from, decision) != decision) {
            log.add("heartbeat-announced", "peer" to from, "epoch" to epoch, "decision" to decision)
        }
        return decision
    }

    override fun announce(epoch: Long, number: Long, hosts: Set<String>) {
        // This host may succeed itself, with a new term.
        if (!acknowledge(epoch)) return
        onAcknowledged(ownName, epoch, number)
        if (lastUsedMillis == null) {
            log.add("heartbeats-announced", "epoch" to epoch, "hosts" to hosts.size)
        }
        sendAll(hosts, OwnerHeartbeat(epoch, number))
    }

    override fun ask(epoch: Long, lastEpoch: Long, hosts: Set<String>) =
        sendAll(hosts, StandbyQuery(epoch, lastEpoch))

    private fun sendAll(hosts: Set<String>, message: PeerMessage) {
        lastUsedMillis = clock.nowMillis()
        noteAddresses()
        targets.standbys = hosts.mapNotNullTo(HashSet()) { addresses[it] }
        (hosts - ownName).forEach { send(it, message) }
    }

    /** Sends [message], which the next one replaces if [host] isn't connected yet. */
    private fun send(host: String, message: PeerMessage) {
        network.send(host, message)
    }

    /** Notes the addresses of hosts, and stops connecting to standbys that need no message now. */
    fun refresh() {
        noteAddresses()
        val usedMillis = lastUsedMillis ?: return
        if (clock.nowMillis() < usedMillis + IDLE_MILLIS) return
        lastUsedMillis = null
        targets.standbys = emptySet()
    }

    private fun noteAddresses() =
        registry.hosts.forEach { (name, record) -> addresses[name] = record.peerAddress }

    private companion object {
        /** Outages often come in series. */
        const val IDLE_MILLIS = 10_000L
    }
}
