/**
 * The network between the entry hosts, over TCP.
 *
 * Every host dials each known host that it has no connection to. Both ends may send over a
 * connection, whichever dialled it, so one reachable direction is enough. Delivery is best effort:
 * the network retransmits nothing, and senders repeat or verify whatever must arrive.
 */
package sycamoremast.daemon.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.micrometer.core.instrument.MeterRegistry
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.reflect.KClass
import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.daemon.log.event

/** Connects to the other entry hosts; [start] begins to listen, [close] closes all connections. */
class TcpPeerNetwork private constructor(
    private val local: LocalPeer,
    private val claim: IncarnationClaim,
    private val limits: PeerLimits,
    private val random: Random,
    registry: MeterRegistry
) : PeerNetwork,
    PeerConnections,
    AutoCloseable {
    private val counters = PeerCounters(registry)
    private val handlers = PeerHandlers(counters)
    private val dispatcher = Dispatchers.IO.limitedParallelism(NETWORK_THREADS)
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selector = ChannelSelector.start()
    private val connections = CopyOnWriteArrayList<PeerConnection>()
    private val newestIncarnations = ConcurrentHashMap<String, Long>()

    /** The addresses to dial, each with a token that ends the loops of earlier requests to dial. */
    private val dialTargets = ConcurrentHashMap<String, Any>()
    private val lastRequestId = AtomicLong()

    @Volatile
    private var closed = false

    @Volatile
    private var listener: PeerListener? = null

    @Volatile
    private var boundAddress: String? = null

    /** The address that other hosts dial; available once the network has started. */
    val address: String
        get() = local.advertised ?: checkNotNull(boundAddress) { "not started" }

    /** Binds the listening socket and accepts peers. */
    fun start() {
        val bound =
            PeerListener.bind(InetSocketAddress(local.bindHost, local.bindPort), selector)
        listener = bound
        boundAddress = "${local.bindHost}:${bound.port}"
        counters.registerConnectionGauge { connections.size }
        scope.launch { acceptLoop(bound) }
    }

    override fun close() {
        closed = true
        connections.forEach { it.close() }
        listener?.close()
        scope.cancel()
        selector.close()
    }

    override fun dial(addresses: Set<String>) {
        for (peerAddress in addresses - address) {
            val token = Any()
            if (dialTargets.putIfAbsent(peerAddress, token) == null) {
                scope.launch { dialLoop(peerAddress, token) }
            }
        }
        dialTargets.keys.retainAll(addresses)
    }

    override fun connected(): List<PeerIdentity> =
        connections.mapNotNull { it.peer }.distinctBy { it.host }

    override fun send(host: String, message: PeerMessage): Boolean {
        val sent = connectionTo(host)?.offer(PeerCodec.wrap(message)) ?: false
        if (!sent) counters.countRefusedSend()
        return sent
    }

    override fun ask(
        host: String,
        message: PeerMessage,
        timeout: Duration
    ): Either<PeerError, PeerMessage> {
        val connection = connectionTo(host)
            ?: return PeerError.NotConnected(ASK_STEP, host).left()
        val id = lastRequestId.incrementAndGet()
        val answer = handlers.expectAnswer(id)
        return try {
            if (connection.offer(PeerCodec.wrap(message, id, expectsAnswer = true))) {
                answer.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS).right()
            } else {
                counters.countRefusedSend()
                PeerError.NotConnected(ASK_STEP, host).left()
            }
        } catch (_: TimeoutException) {
            PeerError.NoAnswer(ASK_STEP, host).left()
        } finally {
            handlers.forget(id)
        }
    }

    override fun <T : PeerMessage> handle(
        type: KClass<T>,
        handler: (from: String, T) -> PeerMessage?
    ) = handlers.add(type, handler)

    /**
     * Returns the connection to [host] on which something was received last.
     *
     * If there are several, one that was cut silently may still accept messages; it is not chosen.
     */
    private fun connectionTo(host: String) =
        connections.filter { it.peer?.host == host }.maxByOrNull { it.lastReceivedNanos }

    private fun identity() = PeerIdentity(local.host, local.availabilityZone, address, claim.value)

    private suspend fun acceptLoop(bound: PeerListener) {
        while (!closed) {
            try {
                val socket = bound.accept()
                scope.launch { serve(socket) }
            } catch (e: IOException) {
                if (closed) return
                Logger.warn { event("accept-failed", "step" to "accept", "reason" to e.message) }
                delay(limits.redial.delayMillis(1, random))
            }
        }
    }

    private suspend fun dialLoop(peerAddress: String, token: Any) {
        var attempt = 0
        while (dialTargets[peerAddress] === token) {
            if (isConnectedTo(peerAddress)) {
                attempt = 0
            } else {
                attempt = if (dialAndServe(peerAddress)) 0 else attempt + 1
            }
            delay(limits.redial.delayMillis(attempt.coerceAtLeast(1), random))
        }
    }

    /** Dials once and serves the connection; returns whether the peer was introduced on it. */
    private suspend fun dialAndServe(peerAddress: String): Boolean {
        val socket = try {
            val (host, port) = splitAddress(peerAddress)
            PeerSocket.connectOrNull(
                InetSocketAddress(host, port),
                selector,
                limits.connectTimeout
            )
        } catch (e: IOException) {
            Logger.debug { event("peer-unreachable", "peer" to peerAddress, "reason" to e.message) }
            null
        } ?: return false
        return runConnection(PeerConnection(socket, peerAddress, limits, counters), isDialer = true)
    }

    private fun isConnectedTo(peerAddress: String) =
        connections.any { it.address == peerAddress || it.peer?.peerAddress == peerAddress }

    private suspend fun serve(socket: PeerSocket) {
        val connection = PeerConnection(socket, socket.remoteAddress, limits, counters)
        runConnection(connection, isDialer = false)
    }

    private suspend fun runConnection(connection: PeerConnection, isDialer: Boolean): Boolean {
        var isIntroduced = false
        try {
            if (isDialer) connection.sendNow(PeerFrame.Hello(identity = identity()))
            val peer = introduce(connection)
            if (!isDialer) connection.sendNow(PeerFrame.Hello(identity = identity()))
            isIntroduced = true
            register(connection, peer)
            if (isDialer) connection.offer(PeerFrame.Ping)
            connection.run { frame -> receive(connection, peer.host, frame) }
        } catch (e: Exception) {
            reportEnd(connection, e)
        } finally {
            connections.remove(connection)
            connection.close()
        }
        return isIntroduced
    }

    /** Handles [frame]; any frame but a refusal shows that the peer has accepted this host. */
    private fun receive(connection: PeerConnection, from: String, frame: PeerFrame) {
        if (frame is PeerFrame.Refusal) throwRefused(connection, frame)
        claim.establish()
        if (frame !is PeerFrame.Ping) handlers.receive(connection, from, frame)
    }

    private suspend fun introduce(connection: PeerConnection): PeerIdentity {
        val hello = when (val frame = connection.receiveFirst()) {
            is PeerFrame.Hello -> frame
            is PeerFrame.Refusal -> throwRefused(connection, frame)
            else -> throw PeerViolationException("malformed", "the first frame is not a hello")
        }
        val refusal = checkHello(hello) ?: return hello.identity
        connection.sendNow(refusal)
        throw PeerViolationException("refused", refusal.reason)
    }

    /** Returns the refusal of [hello], or null if the peer is accepted. */
    private fun checkHello(hello: PeerFrame.Hello): PeerFrame.Refusal? {
        val peer = hello.identity
        return when {
            hello.magic != PeerFrame.MAGIC -> PeerFrame.Refusal("not a peer: ${hello.magic}")

            hello.newest < PeerFrame.OLDEST_VERSION || hello.oldest > PeerFrame.NEWEST_VERSION ->
                PeerFrame.Refusal("no common version: ${hello.oldest} to ${hello.newest}")

            peer.host == local.host -> refuseOwnName(peer)

            else -> refuseIfOutdated(peer)
        }
    }

    private fun refuseIfOutdated(peer: PeerIdentity): PeerFrame.Refusal? {
        val newest = newestIncarnations.merge(peer.host, peer.incarnation, ::maxOf) ?: 0
        if (peer.incarnation == newest) return null
        return PeerFrame.Refusal("outdated incarnation", newest)
    }

    private fun refuseOwnName(peer: PeerIdentity): PeerFrame.Refusal {
        if (peer.peerAddress != address) claim.observe(peer.incarnation)
        return PeerFrame.Refusal("the host's own name", claim.value)
    }

    private fun throwRefused(connection: PeerConnection, refusal: PeerFrame.Refusal): Nothing {
        claim.observe(refusal.knownIncarnation)
        throw PeerViolationException("refused", "by ${connection.address}: ${refusal.reason}")
    }

    private fun register(connection: PeerConnection, peer: PeerIdentity) {
        connection.peer = peer
        connections.filter { it.peer?.host == peer.host && it.isOlderThan(peer) }
            .forEach { it.close() }
        connections += connection
        Logger.info {
            event(
                "peer-connected",
                "peer" to peer.host,
                "address" to connection.address,
                "incarnation" to peer.incarnation
            )
        }
    }

    private fun PeerConnection.isOlderThan(other: PeerIdentity) =
        (peer?.incarnation ?: other.incarnation) < other.incarnation

    private fun reportEnd(connection: PeerConnection, cause: Exception) {
        if (closed) return
        if (cause is PeerViolationException) counters.countDropped(cause.kind)
        val name = if (cause is PeerViolationException) "peer-dropped" else "peer-disconnected"
        Logger.warn {
            event(
                name,
                "step" to "converse",
                "peer" to (connection.peer?.host ?: connection.address),
                "address" to connection.address,
                "reason" to cause.endReason()
            )
        }
    }

    companion object {
        private const val NETWORK_THREADS = 8
        private const val ASK_STEP = "ask"

        /** Returns the network of [local], which still has to be started. */
        fun create(
            local: LocalPeer,
            claim: IncarnationClaim,
            registry: MeterRegistry,
            limits: PeerLimits = PeerLimits(),
            random: Random = Random.Default
        ): TcpPeerNetwork = TcpPeerNetwork(local, claim, limits, random, registry)
    }
}
