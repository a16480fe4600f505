package sycamoremast.daemon.workflow

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.coordination.workflow.HeartbeatSighting
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.RecordVersion
import sycamoremast.coordination.workflow.SchedulerAction
import sycamoremast.coordination.workflow.StandbyReport
import sycamoremast.daemon.control.eventually
import sycamoremast.daemon.control.quickLimits
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.LocalPeer
import sycamoremast.daemon.peer.PeerConnections
import sycamoremast.daemon.peer.StandbyAnswer
import sycamoremast.daemon.peer.TcpPeerNetwork

class StandbyPeersTest {
    /** A registered host that listens at a free port. */
    private class Host(val name: String, store: MemoryStore, clock: MonotonicClock) :
        AutoCloseable {
        val network = TcpPeerNetwork.create(
            LocalPeer(name, "zone", "127.0.0.1", 0),
            IncarnationClaim(1),
            SimpleMeterRegistry(),
            quickLimits
        ).apply { start() }
        val logged = ConcurrentLinkedQueue<String>()
        val dialled = ConcurrentLinkedQueue<Set<String>>()
        private val log = EventLog { logged += it }
        private val record = HostRecord(network.address, "zone", 1.0, process = "a")
        val registry = HostRegistry(store, name, record, log) { }
        private val recording = object : PeerConnections by network {
            override fun dial(addresses: Set<String>) {
                dialled += addresses
                network.dial(addresses)
            }
        }
        val peers = StandbyPeers(
            HostProcess.of(name, "a"),
            network,
            PeerTargets(recording),
            registry,
            clock,
            log
        )

        fun start() {
            peers.start()
            registry.start()
        }

        fun registered() = peers.registeredProcesses.map { it.text }.toSet()

        fun isConnectedTo(host: String) = network.connected().any { it.host == host }

        override fun close() {
            registry.close()
            network.close()
            log.close()
        }
    }

    private data class Acknowledgement(val process: String, val epoch: Long, val number: Long)

    @Volatile
    private var now = 1_000L
    private val store = MemoryStore()
    private val owner = Host("owner", store) { now }
    private val standby = Host("standby", store) { now }
    private val acknowledged = ConcurrentLinkedQueue<Acknowledgement>()

    /** The owner's acknowledgements of its own heartbeats. */
    private val ownAcknowledged = ConcurrentLinkedQueue<Acknowledgement>()

    /** The epochs whose heartbeats the standby was asked to acknowledge. */
    private val asked = ConcurrentLinkedQueue<Long>()
    private var lastNumber = 0L

    @BeforeEach
    fun start() {
        owner.peers.acknowledge = { true }
        owner.peers.onAcknowledged = { process, message ->
            val known = if (process.host == "owner") ownAcknowledged else acknowledged
            known += Acknowledgement(process.text, message.epoch, message.number)
            expectThat(message.recordsLimits).isTrue()
        }
        standby.peers.hasStore = { false }
        owner.start()
        standby.start()
        eventually("both hosts are registered") {
            owner.registered() == setOf("owner/a", "standby/a")
        }
    }

    @AfterEach
    fun close() {
        owner.close()
        standby.close()
    }

    private fun announce(epoch: Long, number: Long) = owner.peers.announce(
        SchedulerAction.Announce(epoch, number, setOf(HostProcess("standby/a")))
    )

    /** Lets the standby acknowledge heartbeats of [epochs]. */
    private fun acceptEpochs(vararg epochs: Long) {
        standby.peers.acknowledge = { heartbeat ->
            asked += heartbeat.epoch
            heartbeat.epoch in epochs
        }
    }

    /** Announces heartbeats of [epoch] until [condition] holds, which is [what]. */
    private fun announceUntil(what: String, epoch: Long, condition: () -> Boolean) =
        eventually(what) {
            announce(epoch, ++lastNumber)
            condition()
        }

    private fun acknowledgedEpochs() = acknowledged.map { it.epoch }.toSet()

    @Test
    fun `a standby that lacks the store acknowledges an owner's heartbeat`() {
        acceptEpochs(7)
        announceUntil("one is acknowledged", epoch = 7) { acknowledged.isNotEmpty() }
        val first = acknowledged.first()
        expectThat(first).isEqualTo(Acknowledgement("standby/a", 7, first.number))
        expectThat(first.number in 1..lastNumber).isTrue()
    }

    // Guards against an owner that succeeds itself and doesn't know how long it went on (TWICE).
    @Test
    fun `an owner acknowledges its own heartbeats`() {
        announce(7, 5)
        expectThat(ownAcknowledged.toList()).isEqualTo(listOf(Acknowledgement("owner/a", 7, 5)))
    }

    @Test
    fun `acknowledges each heartbeat by its number`() {
        acceptEpochs(7)
        announceUntil("one is acknowledged", epoch = 7) { acknowledged.isNotEmpty() }
        announce(7, 1_000_000)
        eventually("the last one is acknowledged") { acknowledged.any { it.number == 1_000_000L } }
    }

    // What is acknowledged of a later owner shows that nothing was of the earlier one.
    @Test
    fun `a standby that has the store acknowledges nothing`() {
        val inquiries = AtomicInteger()
        acceptEpochs(7, 8)
        standby.peers.hasStore = {
            inquiries.incrementAndGet()
            true
        }
        announceUntil("the standby has decided", epoch = 7) { inquiries.get() > 0 }
        expectThat(asked).isEmpty()
        acceptEpochs(8)
        standby.peers.hasStore = { false }
        announceUntil("one is acknowledged", epoch = 8) { acknowledged.isNotEmpty() }
        expectThat(acknowledgedEpochs()).isEqualTo(setOf(8L))
        eventually("the decision is logged") { hasLogged("STORE_AVAILABLE", epoch = 7) }
    }

    @Test
    fun `a standby acknowledges nothing of an outdated owner`() {
        acceptEpochs(8)
        announceUntil("the standby has decided", epoch = 7) { 7L in asked }
        announceUntil("one is acknowledged", epoch = 8) { acknowledged.isNotEmpty() }
        expectThat(acknowledgedEpochs()).isEqualTo(setOf(8L))
        eventually("the decision is logged") { hasLogged("OWNER_OUTDATED", epoch = 7) }
    }

    private fun hasLogged(decision: String, epoch: Long) = standby.logged.any {
        it.startsWith("event=heartbeat-announced ") &&
            "epoch=$epoch" in it &&
            "decision=$decision" in it
    }

    // An owner may succeed itself with a new term. Without this, tasks ran twice in trials.
    @Test
    fun `an owner announces nothing that it does not acknowledge itself`() {
        acceptEpochs(7, 8)
        announceUntil("one is acknowledged", epoch = 7) { acknowledged.isNotEmpty() }
        owner.peers.acknowledge = { it.epoch == 8L }
        val last = ++lastNumber
        announce(7, last)
        announceUntil("a later one is acknowledged", epoch = 8) { 8L in acknowledgedEpochs() }
        expectThat(acknowledged.none { it.number == last }).isTrue()
    }

    @Test
    fun `connections to standbys are opened for an announcement`() {
        expectThat(owner.isConnectedTo("standby")).isFalse()
        expectThat(owner.dialled).isEmpty()
        announce(7, 1)
        expectThat(owner.dialled.last()).isEqualTo(setOf(standby.network.address))
        eventually("the standby is connected") { owner.isConnectedTo("standby") }
    }

    @Test
    fun `connections are kept up until 10 s after the last announcement`() {
        val standbys = setOf(standby.network.address)
        announce(7, 1)
        now += 5_000
        announce(7, 2)
        now += 9_999
        owner.peers.refresh()
        expectThat(owner.dialled.last()).isEqualTo(standbys)
        now++
        owner.peers.refresh()
        expectThat(owner.dialled.last()).isEmpty()
        announce(7, 3)
        expectThat(owner.dialled.last()).isEqualTo(standbys)
    }

    // Guards against an owner that has no address of a standby, as outages let entries expire.
    @Test
    fun `reaches a standby whose entry has expired`() {
        acceptEpochs(7)
        standby.registry.close()
        val key = WorkflowKeys.host("standby")
        store.apply(StoreTransaction(emptyMap(), emptyList(), listOf(key)))
        eventually("the entry is gone") { owner.registered() == setOf("owner/a") }
        announceUntil("one is acknowledged", epoch = 7) { acknowledged.isNotEmpty() }
        expectThat(acknowledgedEpochs()).contains(7L)
    }

    /** Asks the standby for the owner of epoch 8, which succeeds that of epoch 7. */
    private fun ask(process: String, lastOwner: String? = null) = owner.peers.ask(
        SchedulerAction.AskStandbys(8, 7, setOf(HostProcess(process)), lastOwner)
    )

    // Guards against leases that end as a standby is stopped in an outage (LOST, issue 49).
    @Test
    fun `a process that ends tells the owner which epoch it knows`() {
        val ended = ConcurrentLinkedQueue<Pair<String, Long>>()
        owner.peers.onEnded = { process, lastEpoch -> ended += process.text to lastEpoch }
        eventually("the owner is registered") { standby.registered().size == 2 }
        standby.peers.announceEnd("owner") { 7 }
        eventually("the owner knows") { ended.toList() == listOf("standby/a" to 7L) }
    }

    // Guards against leases that end as the owner has changed since a standby ended (LOST, issue 49).
    @Test
    fun `a process that has announced its end tells each owner that announces a heartbeat`() {
        val ended = ConcurrentLinkedQueue<Pair<String, Long>>()
        owner.peers.onEnded = { process, lastEpoch -> ended += process.text to lastEpoch }
        standby.peers.announceEnd(owner = null) { 7 }
        announceUntil("the owner knows", epoch = 8) { ended.isNotEmpty() }
        expectThat(ended.first()).isEqualTo("standby/a" to 7L)
        expectThat(acknowledged).isEmpty()
    }

    // The owner awaits it no more, so that its answers would tell too little (TWICE).
    @Test
    fun `a process that has announced its end acknowledges and answers nothing`() {
        val answers = ConcurrentLinkedQueue<String>()
        owner.peers.onAnswered = { process, _ -> answers += process.text }
        acceptEpochs(7)
        announceUntil("one is acknowledged", epoch = 7) { acknowledged.isNotEmpty() }
        standby.peers.announceEnd("owner") { 7 }
        val before = lastNumber
        announceUntil("the standby has decided", epoch = 7) { hasLogged("ENDING", epoch = 7) }
        ask("standby/a")
        eventually("the query is logged") { hasLoggedQuery("process=a") }
        expectThat(hasLoggedQuery("millisAgo")).isFalse()
        expectThat(acknowledged.filter { it.number > before }).isEmpty()
        expectThat(answers).isEmpty()
    }

    @Test
    fun `only the process that is named as a standby answers a successor`() {
        val answers = ConcurrentLinkedQueue<Long>()
        owner.peers.onAnswered = { _, answer -> answers += answer.millisAgo }
        standby.peers.report = { StandbyReport(300) }
        eventually("an earlier process is asked for") {
            ask("standby/earlier")
            hasLoggedQuery("process=earlier")
        }
        eventually("this process is asked for") {
            ask("standby/a")
            answers.isNotEmpty()
        }
        expectThat(answers.toSet()).isEqualTo(setOf(300L))
    }

    // Guards against a wait for the longest leases after all hosts were killed (LOST, issue 49).
    @Test
    fun `a new process tells a successor when the owner on its host had ended`() {
        val answers = ConcurrentLinkedQueue<StandbyAnswer>()
        owner.peers.onAnswered = { _, answer -> answers += answer }
        standby.peers.reportEndOrNull =
            { StandbyReport(400, liftedLimits = null, isOwnerEnd = true) }
        eventually("it answers") {
            ask("standby/earlier", lastOwner = "standby")
            answers.isNotEmpty()
        }
        val expected = StandbyAnswer(7, 400, liftedLimits = null, isOwnerEnd = true, "a")
        expectThat(answers.toSet()).isEqualTo(setOf(expected))
    }

    // Guards against a successor that relies on a limit which its predecessor had lifted (TWICE).
    @Test
    fun `a heartbeat and an answer tell which limits are lifted`() {
        val known = ConcurrentLinkedQueue<Set<String>>()
        val ownKnown = ConcurrentLinkedQueue<Set<String>>()
        standby.peers.acknowledge = { known.add(it.liftedLimits) }
        owner.peers.acknowledge = { ownKnown.add(it.liftedLimits) }
        val standbys = setOf(HostProcess("standby/a"))
        eventually("the standby knows") {
            owner.peers.announce(
                SchedulerAction.Announce(7, ++lastNumber, standbys, setOf("w1", "w2"))
            )
            known.isNotEmpty()
        }
        expectThat(known.first()).isEqualTo(setOf("w1", "w2"))
        expectThat(ownKnown.first()).isEqualTo(setOf("w1", "w2"))
        val answers = ConcurrentLinkedQueue<StandbyAnswer>()
        owner.peers.onAnswered = { _, answer -> answers += answer }
        val seen = HeartbeatSighting(RecordVersion(7, 2), millisAgo = 900)
        standby.peers.report = { StandbyReport(300, mapOf("w1" to 5L), lastHeartbeat = seen) }
        eventually("it answers") {
            ask("standby/a")
            answers.isNotEmpty()
        }
        expectThat(answers.first()).isEqualTo(
            StandbyAnswer(7, 300, mapOf("w1" to 5L), process = "a", lastHeartbeat = seen)
        )
    }

    private fun hasLoggedQuery(text: String) =
        standby.logged.any { it.startsWith("event=standby-queried ") && text in it }
}
