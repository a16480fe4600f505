/**
 * The network between the entry hosts, over Ktor sockets.
 *
 * Every host dials every other one that it knows and has no connection to. Either end may send over
 * a connection, whoever dialled it, so that one direction of dialling is enough. Nothing is sent
 * again by the network: a message is a hint, and its sender repeats or verifies what matters.
 */
package sycamoremast.daemon.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.toJavaAddress
import io.micrometer.core.instrument.MeterRegistry
import java.io.IOException
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
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.daemon.log.event

/** Connections to the other entry hosts; [start] binds and [close] ends them all. */
class KtorPeerNetwork private constructor(
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
    private val selector = SelectorManager(dispatcher)
    private val connections = CopyOnWriteArrayList<PeerConnection>()
    private val newestIncarnations = ConcurrentHashMap<String, Long>()
    private val dialled = ConcurrentHashMap<String, String>()
    private val lastQuestion = AtomicLong()

    @Volatile
    private var closed = false

    @Volatile
    private var server: ServerSocket? = null

    @Volatile
    private var boundAddress: String? = null

    /** The address that other hosts dial; known once the network has started. */
    val address: String
        get() = local.advertised ?: checkNotNull(boundAddress) { "not started" }

    /** Binds the listening socket and accepts peers. */
    fun start() {
        val bound = runBlocking {
            aSocket(selector).tcp().bind(local.bindHost, local.bindPort) { reuseAddress = true }
        }
        server = bound
        boundAddress = "${local.bindHost}:${(bound.localAddress as InetSocketAddress).port}"
        counters.watchConnections { connections.size }
        scope.launch { acceptLoop(bound) }
    }

    override fun close() {
        closed = true
        connections.forEach { it.close() }
        server?.close()
        scope.cancel()
        runCatching { selector.close() }
    }

    override fun dial(addresses: Set<String>) {
        for (peerAddress in addresses - address) {
            if (dialled.putIfAbsent(peerAddress, "") == null) {
                scope.launch { dialLoop(peerAddress) }
            }
        }
        dialled.keys.retainAll(addresses)
    }

    override fun connected(): List<PeerIdentity> =
        connections.mapNotNull { it.peer }.distinctBy { it.host }

    override fun send(host: String, message: PeerMessage): Boolean {
        val sent = connectionTo(host)?.offer(PeerCodec.wrap(message)) ?: false
        if (!sent) counters.refusedSend()
        return sent
    }

    override fun ask(
        host: String,
        message: PeerMessage,
        timeout: Duration
    ): Either<PeerError, PeerMessage> {
        val connection = connectionTo(host)
            ?: return PeerError.NotConnected(ASK_STEP, host).left()
        val id = lastQuestion.incrementAndGet()
        val answer = handlers.expectAnswer(id)
        return try {
            if (connection.offer(PeerCodec.wrap(message, id, asks = true))) {
                answer.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS).right()
            } else {
                counters.refusedSend()
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

    /** Of several connections, one that was cut silently may still take messages: it is passed by. */
    private fun connectionTo(host: String) =
        connections.filter { it.peer?.host == host }.maxByOrNull { it.heardNanos }

    private fun identity() = PeerIdentity(local.host, local.availabilityZone, address, claim.value)

    private suspend fun acceptLoop(bound: ServerSocket) {
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

    private suspend fun dialLoop(peerAddress: String) {
        var attempt = 0
        while (peerAddress in dialled.keys) {
            if (isConnectedTo(peerAddress)) {
                attempt = 0
            } else {
                attempt = if (dialOnce(peerAddress)) 0 else attempt + 1
            }
            delay(limits.redial.delayMillis(attempt.coerceAtLeast(1), random))
        }
    }

    /** Returns whether the peer was connected for a while. */
    private suspend fun dialOnce(peerAddress: String): Boolean {
        val socket = try {
            withTimeoutOrNull(limits.connectTimeout) {
                val (host, port) = splitAddress(peerAddress)
                aSocket(selector).tcp().connect(host, port) { noDelay = true }
            }
        } catch (e: IOException) {
            Logger.debug { event("peer-unreachable", "peer" to peerAddress, "reason" to e.message) }
            null
        } ?: return false
        return converse(PeerConnection(socket, peerAddress, limits, counters), dials = true)
    }

    private fun isConnectedTo(peerAddress: String) =
        connections.any { it.address == peerAddress || it.peer?.peerAddress == peerAddress }

    private suspend fun serve(socket: Socket) {
        val remote = socket.remoteAddress.toJavaAddress().toString().removePrefix("/")
        converse(PeerConnection(socket, remote, limits, counters), dials = false)
    }

    private suspend fun converse(connection: PeerConnection, dials: Boolean): Boolean {
        var introduced = false
        try {
            if (dials) connection.sendNow(PeerFrame.Hello(identity = identity()))
            val peer = introduce(connection)
            if (!dials) connection.sendNow(PeerFrame.Hello(identity = identity()))
            introduced = true
            register(connection, peer)
            if (dials) connection.offer(PeerFrame.Ping)
            connection.run { frame -> receive(connection, peer.host, frame) }
        } catch (e: Exception) {
            ended(connection, e)
        } finally {
            connections.remove(connection)
            connection.close()
        }
        return introduced
    }

    /** Takes [frame], the first of which shows that the peer has accepted this host. */
    private fun receive(connection: PeerConnection, from: String, frame: PeerFrame) {
        if (frame is PeerFrame.Refusal) refusedBy(connection, frame)
        claim.establish()
        if (frame !is PeerFrame.Ping) handlers.receive(connection, from, frame)
    }

    private suspend fun introduce(connection: PeerConnection): PeerIdentity {
        val hello = when (val frame = connection.receiveFirst()) {
            is PeerFrame.Hello -> frame
            is PeerFrame.Refusal -> refusedBy(connection, frame)
            else -> throw PeerViolationException("malformed", "the first frame is no hello")
        }
        val refusal = refusalOf(hello) ?: return hello.identity
        connection.sendNow(refusal)
        throw PeerViolationException("refused", refusal.reason)
    }

    private fun refusalOf(hello: PeerFrame.Hello): PeerFrame.Refusal? {
        val peer = hello.identity
        return when {
            hello.magic != PeerFrame.MAGIC -> PeerFrame.Refusal("not a peer: ${hello.magic}")

            hello.newest < PeerFrame.OLDEST_VERSION || hello.oldest > PeerFrame.NEWEST_VERSION ->
                PeerFrame.Refusal("no common version: ${hello.oldest} to ${hello.newest}")

            peer.host == local.host -> ownNameRefusal(peer)

            else -> outdatedRefusal(peer)
        }
    }

    private fun outdatedRefusal(peer: PeerIdentity): PeerFrame.Refusal? {
        val newest = newestIncarnations.merge(peer.host, peer.incarnation, ::maxOf) ?: 0
        if (peer.incarnation == newest) return null
        return PeerFrame.Refusal("outdated incarnation", newest)
    }

    private fun ownNameRefusal(peer: PeerIdentity): PeerFrame.Refusal {
        if (peer.peerAddress != address) claim.observe(peer.incarnation)
        return PeerFrame.Refusal("the host's own name", claim.value)
    }

    private fun refusedBy(connection: PeerConnection, refusal: PeerFrame.Refusal): Nothing {
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

    private fun ended(connection: PeerConnection, cause: Exception) {
        if (closed) return
        if (cause is PeerViolationException) counters.dropped(cause.kind)
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

        /** Returns a network that speaks for [local]; it is not started yet. */
        fun create(
            local: LocalPeer,
            claim: IncarnationClaim,
            registry: MeterRegistry,
            limits: PeerLimits = PeerLimits(),
            random: Random = Random.Default
        ): KtorPeerNetwork = KtorPeerNetwork(local, claim, limits, random, registry)
    }
}
