/** One or more entry hosts in this process, each with the daemon's request path. */
package sycamoremast.bench.request

import arrow.core.left
import arrow.core.right
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import kotlin.reflect.KClass
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.http4k.server.Http4kServer
import sycamoremast.bench.httpClient
import sycamoremast.configuration.Quota
import sycamoremast.configuration.Route
import sycamoremast.configuration.Service
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.coordination.HostList
import sycamoremast.daemon.control.AppliedConfiguration
import sycamoremast.daemon.control.ConfigurationView
import sycamoremast.daemon.control.Member
import sycamoremast.daemon.control.MemberState
import sycamoremast.daemon.control.MembershipView
import sycamoremast.daemon.control.ProblemKind
import sycamoremast.daemon.control.ProblemReporter
import sycamoremast.daemon.peer.PeerError
import sycamoremast.daemon.peer.PeerMessage
import sycamoremast.daemon.peer.PeerNetwork
import sycamoremast.daemon.platform.HttpKeyValueStore
import sycamoremast.daemon.request.RequestPath
import sycamoremast.daemon.request.RequestPathPorts
import sycamoremast.daemon.request.RequestPathSettings
import sycamoremast.daemon.request.RequestServer
import sycamoremast.daemon.request.requestPath

/**
 * Runs [count] entry hosts in front of [fleet].
 *
 * Peer messages between the hosts are passed by method call.
 */
internal class DaemonHosts(private val fleet: BackendFleet, count: Int) : SystemUnderTest {
    override val name = if (count == 1) "daemon" else "daemon-$count-hosts"
    override val pathPrefix = "/services/$SERVICE"

    private val hosts = ConcurrentHashMap<String, Host>()

    init {
        repeat(count) { startHost("entry-$it", 1) }
        Thread.sleep(SETTLE_MILLIS)
    }

    private inner class Host(val member: Member) {
        val peers = InProcessPeerNetwork(member.host)
        val path: RequestPath = requestPath(
            requestPathPorts(this),
            RequestPathSettings(hostListRefreshMillis = HOST_LIST_REFRESH_MILLIS)
        )
        val server: Http4kServer =
            RequestServer("127.0.0.1", 0, WORKER_THREADS).toServer(path.handler).start()

        /** Read once at start, because a stopped server no longer has a port. */
        val port = server.port()

        @Volatile
        var isReady = true
    }

    override fun ports() = hosts.values.filter { it.isReady }.map { it.port }

    /**
     * Stops the host at [index] as the daemon does on SIGTERM: unready, drained, then stopped.
     *
     * The drain begins [balancerLagMillis] after the host became unready. Returns whether all
     * requests completed within the drain timeout.
     */
    fun stopGracefully(index: Int, balancerLagMillis: Long): Boolean {
        val host = hosts.getValue("entry-$index")
        host.isReady = false
        Thread.sleep(balancerLagMillis)
        host.path.beginDrain()
        val isDrained = host.path.awaitIdle(DRAIN_TIMEOUT)
        stop(host)
        return isDrained
    }

    /**
     * Stops the host at [index] without a drain.
     *
     * The balancer still sends requests to it for [balancerLagMillis].
     */
    fun stopAbruptly(index: Int, balancerLagMillis: Long) {
        val host = hosts.getValue("entry-$index")
        host.path.close()
        host.server.stop()
        Thread.sleep(balancerLagMillis)
        hosts.remove(host.member.host)
    }

    /** Restarts the stopped host at [index] with a new [incarnation]. */
    fun restart(index: Int, incarnation: Long) = startHost("entry-$index", incarnation)

    override fun close() = hosts.values.toList().forEach(::stop)

    private fun startHost(name: String, incarnation: Long) {
        val host = Host(Member(name, ZONE, incarnation, "127.0.0.1:0", MemberState.LIVE))
        hosts[name] = host
        host.path.start()
    }

    private fun stop(host: Host) {
        hosts.remove(host.member.host)
        host.path.close()
        host.server.stop()
    }

    private fun requestPathPorts(host: Host) = RequestPathPorts(
        configuration = FixedConfiguration,
        membership = object : MembershipView {
            override val self = host.member

            override fun members() =
                (hosts.values.map { it.member } + host.member).distinctBy { it.host }
        },
        peers = host.peers,
        store = HttpKeyValueStore.at("127.0.0.1:1", httpClient, 1.seconds),
        hostList = HostList { fleet.hostListEntries().right() },
        problems = NoOpProblemReporter,
        meters = SimpleMeterRegistry()
    )

    private inner class InProcessPeerNetwork(private val self: String) : PeerNetwork {
        private val handlers =
            ConcurrentHashMap<KClass<out PeerMessage>, (String, PeerMessage) -> PeerMessage?>()

        override fun send(host: String, message: PeerMessage): Boolean {
            val peer = hosts[host] ?: return false
            peer.peers.receive(self, message)
            return true
        }

        override fun ask(host: String, message: PeerMessage, timeout: Duration) =
            hosts[host]?.peers?.receive(self, message)?.right()
                ?: PeerError.NotConnected("ask", host).left()

        override fun <T : PeerMessage> handle(
            type: KClass<T>,
            handler: (from: String, T) -> PeerMessage?
        ) {
            @Suppress("UNCHECKED_CAST")
            handlers[type] = { from, message -> handler(from, message as T) }
        }

        private fun receive(from: String, message: PeerMessage): PeerMessage? =
            handlers[message::class]?.invoke(from, message)
    }

    companion object {
        private const val WORKER_THREADS = 3_000
        private const val HOST_LIST_REFRESH_MILLIS = 100L
        private const val SETTLE_MILLIS = 500L
        private val DRAIN_TIMEOUT = 20.seconds
    }
}

/** A fixed configuration of the service under test, with one route per kind of request. */
private object FixedConfiguration : ConfigurationView {
    private val service = Service(
        name = SERVICE,
        deadline = 30.seconds,
        routes = listOf(
            Route("photos", "/photos", 50.milliseconds, idempotent = true),
            Route("archive", "/archive", 2.seconds, idempotent = true)
        )
    )
    private val applied = AppliedConfiguration(
        "inspectors",
        1,
        TeamConfiguration("inspectors", Quota(0, 0), listOf(service))
    )

    override fun inForce() = mapOf(applied.team to applied)

    override fun onApplied(listener: (AppliedConfiguration) -> Unit) = listener(applied)
}

private object NoOpProblemReporter : ProblemReporter {
    override fun raise(kind: ProblemKind, subject: String, evidence: String) = Unit

    override fun clear(kind: ProblemKind, subject: String) = Unit
}
