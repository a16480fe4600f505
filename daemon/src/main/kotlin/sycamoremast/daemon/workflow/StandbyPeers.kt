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
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.SchedulerAction
import sycamoremast.coordination.workflow.StandbyReport
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.HeartbeatAcknowledgement
import sycamoremast.daemon.peer.OwnerHeartbeat
import sycamoremast.daemon.peer.PeerMessage
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.peer.StandbyAnswer
import sycamoremast.daemon.peer.StandbyEnded
import sycamoremast.daemon.peer.StandbyQuery

/** The decision of a host whether it acknowledges an owner's heartbeat. */
internal enum class HeartbeatDecision {
    ACKNOWLEDGED,
    STORE_AVAILABLE,

    /** The owner isn't the last one that this host knows of, or its last heartbeat is too old. */
    OWNER_OUTDATED,

    /** This process has announced its end. */
    ENDING
}

/** Exchanges heartbeats with the hosts of [registry] over [network], for the process [self]. */
internal class StandbyPeers(
    override val self: HostProcess,
    private val network: PeerNetwork,
    private val targets: PeerTargets,
    private val registry: HostRegistry,
    private val clock: MonotonicClock,
    private val log: EventLog
) : StandbyLinks {
    /** Records for a later claim what a heartbeat tells, if its owner is the last one. */
    @Volatile
    var acknowledge: (OwnerHeartbeat) -> Boolean = { false }

    /** Whether this host has the store. */
    @Volatile
    var hasStore: () -> Boolean = { true }

    /** Returns what this process has acknowledged of the last owner, and ends that for good. */
    @Volatile
    var report: (StandbyQuery) -> StandbyReport = { StandbyReport(0) }

    /** Returns how long ago the last owner ended, which was on this host, or null if it goes on. */
    @Volatile
    var reportEndOrNull: (StandbyQuery) -> StandbyReport? = { null }

    /** Called with a process that has announced its end, and the last epoch that it knew. */
    @Volatile
    var onEnded: (process: HostProcess, lastEpoch: Long) -> Unit = { _, _ -> }

    /** Called with the answer of a host to this one's query. */
    @Volatile
    var onAnswered: (process: HostProcess, answer: StandbyAnswer) -> Unit = { _, _ -> }

    /** Called with a process and its acknowledgement of a heartbeat. */
    @Volatile
    var onAcknowledged: (process: HostProcess, HeartbeatAcknowledgement) -> Unit = { _, _ -> }

    /** The addresses of hosts, also of those whose entries have expired in an outage. */
    private val addresses = ConcurrentHashMap<String, String>()

    /** The last decision on the heartbeats of each host. */
    private val decisions = ConcurrentHashMap<String, HeartbeatDecision>()

    @Volatile
    private var lastUsedMillis: Long? = null

    /** Whether this process has announced its end. */
    private var isEnding = false

    /** Returns the last epoch known, once this process has announced its end. */
    @Volatile
    private var knownEpoch: () -> Long = { Long.MAX_VALUE }

    override val registeredProcesses: Set<HostProcess>
        get() {
            noteAddresses()
            return registry.hosts.entries.mapTo(HashSet()) { (host, record) ->
                HostProcess.of(host, record.process)
            }
        }

    fun start() {
        network.handle(OwnerHeartbeat::class) { from, heartbeat ->
            when (decide(from, heartbeat)) {
                HeartbeatDecision.ACKNOWLEDGED -> send(from, acknowledgement(heartbeat))

                HeartbeatDecision.ENDING -> send(from, StandbyEnded(self.id, knownEpoch()))

                HeartbeatDecision.STORE_AVAILABLE, HeartbeatDecision.OWNER_OUTDATED -> Unit
            }
            null
        }
        network.handle(StandbyQuery::class) { from, query ->
            val report = answerOrNull(query)
            log.add(
                "standby-queried",
                "peer" to from,
                "epoch" to query.epoch,
                "lastEpoch" to query.lastEpoch,
                "process" to query.process,
                "isLastOwner" to query.isLastOwner,
                "millisAgo" to report?.millisAgo,
                "liftedLimits" to report?.liftedLimits?.size
            )
            if (report != null) send(from, answer(query, report))
            null
        }
        network.handle(StandbyEnded::class) { from, end ->
            onEnded(HostProcess.of(from, end.process), end.lastEpoch)
            null
        }
        network.handle(StandbyAnswer::class) { from, answer ->
            onAnswered(HostProcess.of(from, answer.process), answer)
            null
        }
        network.handle(HeartbeatAcknowledgement::class) { from, acknowledgement ->
            val process = HostProcess.of(from, acknowledgement.process)
            onAcknowledged(process, acknowledgement)
            null
        }
    }

    private fun acknowledgement(heartbeat: OwnerHeartbeat) = HeartbeatAcknowledgement(
        heartbeat.epoch,
        heartbeat.number,
        self.id,
        recordsLimits = true
    )

    private fun answer(query: StandbyQuery, report: StandbyReport) = StandbyAnswer(
        query.lastEpoch,
        report.millisAgo,
        report.liftedLimits,
        report.isOwnerEnd,
        self.id,
        report.lastHeartbeat
    )

    /** A process that has announced its end must not answer, as it isn't waited for any more. */
    @Synchronized
    private fun answerOrNull(query: StandbyQuery): StandbyReport? = when {
        isEnding -> null
        query.process.isEmpty() && !query.isLastOwner -> report(query)
        query.process == self.id -> report(query)
        query.isLastOwner -> reportEndOrNull(query)
        else -> null
    }

    @Synchronized
    private fun decide(from: String, heartbeat: OwnerHeartbeat): HeartbeatDecision {
        val epoch = heartbeat.epoch
        val decision = when {
            isEnding -> HeartbeatDecision.ENDING
            hasStore() -> HeartbeatDecision.STORE_AVAILABLE
            acknowledge(heartbeat) -> HeartbeatDecision.ACKNOWLEDGED
            else -> HeartbeatDecision.OWNER_OUTDATED
        }
        if (decisions.put(from, decision) != decision) {
            log.add("heartbeat-announced", "peer" to from, "epoch" to epoch, "decision" to decision)
        }
        return decision
    }

    override fun announce(heartbeat: SchedulerAction.Announce) {
        val epoch = heartbeat.epoch
        val standbys = heartbeat.standbys
        val message = OwnerHeartbeat(epoch, heartbeat.number, heartbeat.liftedLimits)
        // This host may succeed itself, with a new term.
        if (!acknowledge(message)) return
        onAcknowledged(self, acknowledgement(message))
        if (lastUsedMillis == null) {
            log.add("heartbeats-announced", "epoch" to epoch, "hosts" to standbys.size)
        }
        connect(standbys.mapTo(HashSet()) { it.host })
        (standbys - self).forEach { send(it.host, message) }
    }

    override fun ask(question: SchedulerAction.AskStandbys) {
        val query = StandbyQuery(question.epoch, question.lastEpoch)
        val lastOwner = question.lastOwner
        connect(question.standbys.mapTo(HashSet()) { it.host } + listOfNotNull(lastOwner))
        question.standbys.filter { it.host != self.host }.forEach {
            send(it.host, query.copy(process = it.id))
        }
        if (lastOwner != null && lastOwner != self.host) {
            send(lastOwner, query.copy(isLastOwner = true))
        }
    }

    /**
     * Tells [owner], the host of the last owner known, that this process succeeds it no more; waits
     * for a connection to it for a short time. Owners that announce a heartbeat later are told then.
     *
     * [lastEpoch] is read once no more queries of later owners are answered.
     */
    fun announceEnd(owner: String?, lastEpoch: () -> Long) {
        synchronized(this) {
            knownEpoch = lastEpoch
            isEnding = true
        }
        if (owner == null || owner == self.host) return
        val deadlineMillis = clock.nowMillis() + MAX_CONNECT_MILLIS
        connect(setOf(owner))
        val message = StandbyEnded(self.id, lastEpoch())
        var isSent = send(owner, message)
        while (!isSent && clock.nowMillis() < deadlineMillis) {
            Thread.sleep(CONNECT_INTERVAL_MILLIS)
            isSent = send(owner, message)
        }
        log.add(
            "end-announced",
            "peer" to owner,
            "lastEpoch" to message.lastEpoch,
            "isSent" to isSent
        )
    }

    private fun connect(hosts: Set<String>) {
        lastUsedMillis = clock.nowMillis()
        noteAddresses()
        targets.standbys = hosts.mapNotNullTo(HashSet()) { addresses[it] }
    }

    /** Sends [message], which the next one replaces if [host] isn't connected yet. */
    private fun send(host: String, message: PeerMessage): Boolean = network.send(host, message)

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

        /** Far longer than connecting takes, and well within a graceful shutdown. */
        const val MAX_CONNECT_MILLIS = 1_000L
        const val CONNECT_INTERVAL_MILLIS = 20L
    }
}
