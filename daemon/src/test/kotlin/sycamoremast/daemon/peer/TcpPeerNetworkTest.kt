package sycamoremast.daemon.peer

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.io.DataInputStream
import java.io.DataOutputStream
import java.lang.management.ManagementFactory
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.daemon.control.eventually
import sycamoremast.daemon.control.quickLimits

class TcpPeerNetworkTest {
    private val started = mutableListOf<AutoCloseable>()

    private inner class Node(
        host: String,
        incarnation: Long = 1,
        port: Int = 0,
        limits: PeerLimits = quickLimits
    ) : AutoCloseable {
        val registry = SimpleMeterRegistry()
        val claim = IncarnationClaim(incarnation)
        val network = TcpPeerNetwork.create(
            LocalPeer(host, "a", "127.0.0.1", port),
            claim,
            registry,
            limits
        )

        init {
            network.start()
            started += this
        }

        val hosts get() = network.connected().map { it.host }

        fun dropped(kind: String) =
            registry.find("sycamoremast.peers.dropped").tag("kind", kind).counter()?.count() ?: 0.0

        override fun close() = network.close()
    }

    @AfterEach
    fun close() = started.forEach { it.close() }

    private fun connect(address: String): Socket {
        val (host, port) = splitAddress(address)
        return Socket(host, port).also { started += it }
    }

    private fun Socket.write(frame: PeerFrame) = write(PeerCodec.encode(frame))

    private fun Socket.write(bytes: ByteArray) {
        val output = DataOutputStream(getOutputStream())
        output.writeInt(bytes.size)
        output.write(bytes)
        output.flush()
    }

    private fun Socket.readFrame(): PeerFrame {
        val input = DataInputStream(getInputStream())
        return PeerCodec.decode(input.readNBytes(input.readInt()))
    }

    private fun hello(host: String = "raw", incarnation: Long = 1, newest: Int = 1) =
        PeerFrame.Hello(
            oldest = newest,
            newest = newest,
            identity = PeerIdentity(host, "a", "127.0.0.1:1", incarnation)
        )

    @Test
    fun `both sides can send requests over a connection that one of them dialled`() {
        val a = Node("a1")
        val b = Node("b1")
        b.network.handle(InForceQuery::class) { from, query ->
            InForceRevision("$from ${query.team}", 7)
        }
        a.network.handle(InForceQuery::class) { _, query -> InForceRevision(query.team, 8) }
        a.network.dial(setOf(b.network.address))
        eventually("both are connected") { "b1" in a.hosts && "a1" in b.hosts }
        expectThat(a.network.ask("b1", InForceQuery("nets"), 5.seconds).getOrNull())
            .isEqualTo(InForceRevision("a1 nets", 7))
        expectThat(b.network.ask("a1", InForceQuery("nets"), 5.seconds).getOrNull())
            .isEqualTo(InForceRevision("nets", 8))
    }

    @Test
    fun `send uses the connection on which the peer was last heard`() {
        val node = Node("a1")
        node.network.handle(InForceQuery::class) { _, query -> InForceRevision(query.team, 7) }
        val (first, second) = List(2) { connect(node.network.address) }
        listOf(first, second).forEach { it.write(hello()) }
        for (socket in listOf(first, second, first)) {
            socket.write(PeerCodec.wrap(InForceQuery("nets"), id = 1, expectsAnswer = true))
            expectThat(socket.readMessage().isAnswer).isTrue()
        }
        expectThat(node.network.send("raw", RevisionsQuery)).isTrue()
        expectThat(first.readMessage().isAnswer).isFalse()
    }

    // Guards against LOST: an owner that retries writes to a full connection without waiting hangs.
    @Test
    fun `a peer that stops reading costs no processor time`() {
        val node = Node("a1", limits = quickLimits.copy(dropAfterSilence = 30.seconds))
        val peer = connect(node.network.address)
        peer.write(hello())
        eventually("the peer is connected") { "raw" in node.hosts }
        val message = Documents(List(10) { "x".repeat(100_000) })
        eventually("the connection is full") { !node.network.send("raw", message) }
        val before = threadCpuNanos()
        Thread.sleep(OBSERVATION.inWholeMilliseconds)
        val busiest = threadCpuNanos().maxOf { (id, nanos) -> nanos - (before[id] ?: 0) }
        expectThat(busiest.nanoseconds).isLessThan(OBSERVATION / 5)
    }

    /** Returns the processor time of each thread by its ID. */
    private fun threadCpuNanos(): Map<Long, Long> {
        val threads = ManagementFactory.getThreadMXBean()
        return threads.allThreadIds.associateWith { threads.getThreadCpuTime(it) }
    }

    private fun Socket.readMessage(): PeerFrame.Message =
        generateSequence { readFrame() }.filterIsInstance<PeerFrame.Message>().first()

    @Test
    fun `ask distinguishes a message not sent from one without an answer`() {
        val a = Node("a1")
        val b = Node("b1")
        expectThat(a.network.ask("b1", RevisionsQuery, 1.seconds).leftOrNull())
            .isA<PeerError.NotConnected>()
        expectThat(a.network.send("b1", RevisionsQuery)).isFalse()
        a.network.dial(setOf(b.network.address))
        eventually("connected") { "b1" in a.hosts }
        expectThat(a.network.ask("b1", RevisionsQuery, 50.milliseconds).leftOrNull())
            .isA<PeerError.NoAnswer>()
    }

    @Test
    fun `drops and counts peers that send malformed or oversized frames and keeps the others`() {
        val node = Node("a1")
        val other = Node("b1")
        other.network.dial(setOf(node.network.address))
        eventually("the other is connected") { "b1" in node.hosts }
        val random = Random(5)
        val cases = listOf<Pair<String, (Socket) -> Unit>>(
            "malformed" to { it.write(random.nextBytes(40)) },
            "malformed" to { it.write(PeerFrame.Ping) },
            "oversized" to { DataOutputStream(it.getOutputStream()).writeInt(Int.MAX_VALUE) },
            "oversized" to { DataOutputStream(it.getOutputStream()).writeInt(-5) },
            "oversized" to { it.write(ByteArray(5_000)) },
            "malformed" to {
                it.write(hello())
                it.write(random.nextBytes(300))
            },
            "malformed" to {
                it.write(hello())
                it.write(PeerFrame.Message("hb", random.nextBytes(30)))
            },
            "oversized" to {
                it.write(hello())
                DataOutputStream(it.getOutputStream()).writeInt(quickLimits.maxMessageBytes + 1)
            }
        )
        for ((index, case) in cases.withIndex()) {
            val (kind, attack) = case
            val before = node.dropped(kind)
            attack(connect(node.network.address))
            eventually("case $index is counted as $kind") { node.dropped(kind) == before + 1 }
        }
        expectThat(node.hosts).isEqualTo(listOf("b1"))
    }

    @Test
    fun `ignores and counts a message of an unknown type`() {
        val node = Node("a1")
        val raw = connect(node.network.address)
        raw.write(hello())
        raw.readFrame()
        raw.write(PeerFrame.Message("from-the-future", byteArrayOf(1, 2, 3)))
        eventually("it is counted") {
            val counter = node.registry.find("sycamoremast.peers.unknown.messages").counter()
            counter?.count() == 1.0
        }
        expectThat(node.hosts).isEqualTo(listOf("raw"))
    }

    @Test
    fun `refuses a peer without a common version or with an outdated incarnation`() {
        val node = Node("a1")
        val future = connect(node.network.address)
        future.write(hello("future", newest = 99))
        expectThat(future.readFrame()).isA<PeerFrame.Refusal>()
        val newer = connect(node.network.address)
        newer.write(hello("raw", incarnation = 9))
        expectThat(newer.readFrame()).isA<PeerFrame.Hello>()
        val older = connect(node.network.address)
        older.write(hello("raw", incarnation = 8))
        expectThat(older.readFrame()).isA<PeerFrame.Refusal>()
            .get { knownIncarnation }.isEqualTo(9)
    }

    @Test
    fun `host restarted at the same address replaces its former connection`() {
        val a = Node("a1")
        val former = Node("b1", incarnation = 5)
        a.network.dial(setOf(former.network.address))
        eventually("connected") { "b1" in a.hosts }
        val port = splitAddress(former.network.address).second
        former.close()
        eventually("its address is free again") { isFree(port) }
        val restarted = Node("b1", incarnation = 3, port = port)
        eventually("it is connected again") { "b1" in a.hosts && "a1" in restarted.hosts }
        expectThat(restarted.claim.value).isEqualTo(6)
        expectThat(a.network.connected().single().incarnation).isEqualTo(6)
        expectThat(restarted.claim.supersededBy).isNull()
    }

    @Test
    fun `send fails when the queue is full and a peer that reads nothing is dropped`() {
        val server = ServerSocket(0).also { started += it }
        val limits = quickLimits.copy(maxQueuedMessages = 50, pingAfter = 100.milliseconds)
        val node = Node("a1", limits = limits)
        node.network.dial(setOf("127.0.0.1:${server.localPort}"))
        val raw = server.accept().also { started += it }
        raw.write(hello("slow"))
        eventually("connected") { "slow" in node.hosts }
        val large = Documents(listOf("x".repeat(1_000_000)))
        var refused = false
        eventually("the queue is full") {
            raw.write(PeerFrame.Ping)
            refused = refused || !node.network.send("slow", large)
            refused
        }
        expectThat(refused).isTrue()
        eventually("it is dropped") { "slow" !in node.hosts }
    }

    // Guards against descriptors that scanners and dying hosts take until a host accepts no peer.
    @Test
    fun `a connection on which nobody introduces itself is closed in time`() {
        val node = Node("a1")
        val raw = connect(node.network.address)
        raw.soTimeout = READ_LIMIT_MILLIS
        expectThat(raw.getInputStream().read()).isEqualTo(-1)
    }

    // Guards against peers that count on a host whose network is closed.
    @Test
    fun `closing a network ends its connections, introduced or not`() {
        val node = Node("a1", limits = quickLimits.copy(connectTimeout = 60.seconds))
        val (introduced, silent) = List(2) { connect(node.network.address) }
        introduced.write(hello())
        expectThat(introduced.readFrame()).isA<PeerFrame.Hello>()
        eventually("connected") { "raw" in node.hosts }
        node.network.close()
        for (socket in listOf(introduced, silent)) {
            socket.soTimeout = READ_LIMIT_MILLIS
            expectThat(socket.getInputStream().read()).isEqualTo(-1)
        }
    }

    private fun isFree(port: Int): Boolean = runCatching {
        ServerSocket().use { it.bind(InetSocketAddress("127.0.0.1", port)) }
    }.isSuccess

    private companion object {
        val OBSERVATION = 1.seconds
        const val READ_LIMIT_MILLIS = 10_000
    }
}
