/** Runs control planes of several hosts in one process, with a network and a stand-in service. */
package sycamoremast.daemon.control

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import okhttp3.OkHttpClient
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.coordination.membership.MemberTimeouts
import sycamoremast.coordination.store.Backoff
import sycamoremast.coordination.store.CallBudget
import sycamoremast.daemon.peer.LocalPeer
import sycamoremast.daemon.peer.PeerLimits
import sycamoremast.daemon.peer.TcpPeerNetwork
import sycamoremast.daemon.platform.HttpKeyValueStore
import sycamoremast.daemon.platform.PlatformTimeouts
import sycamoremast.daemon.platform.platformHttpClient
import sycamoremast.standins.KeyValueFaults
import sycamoremast.standins.KeyValueServer

/** Short intervals for tests. */
internal val quickTimes = MembershipTimes(
    heartbeatInterval = 200.milliseconds,
    leaseTtl = 3.seconds,
    leaseRenewalInterval = 700.milliseconds,
    listingInterval = 3.seconds,
    members = MemberTimeouts(1.seconds, 3.seconds, 60.seconds)
)

internal val quickRelay = RelayTimes(
    silenceTimeout = 800.milliseconds,
    watchRenewalInterval = 1.seconds,
    hostRefreshInterval = 500.milliseconds,
    keyRefreshInterval = 1.seconds,
    rereadInterval = 3.seconds,
    retry = Backoff(100.milliseconds, 1.seconds)
)

internal val quickLimits = PeerLimits(
    pingAfter = 200.milliseconds,
    dropAfterSilence = 1.seconds,
    connectTimeout = 1.seconds,
    redial = Backoff(50.milliseconds, 500.milliseconds)
)

internal fun quickHttpClient(): OkHttpClient =
    platformHttpClient(PlatformTimeouts(call = 800.milliseconds, connect = 500.milliseconds))

/** The control plane of one host, assembled as in the daemon. */
internal class ControlNode(
    val host: String,
    zone: String,
    storeAddress: String,
    seeds: Set<String> = emptySet(),
    incarnation: Long = System.currentTimeMillis(),
    times: MembershipTimes = quickTimes,
    relayTimes: RelayTimes = quickRelay,
    limits: PeerLimits = quickLimits,
    bindPort: Int = 0,
    advertised: String? = null,
    http: OkHttpClient = quickHttpClient()
) : AutoCloseable {
    val registry = SimpleMeterRegistry()
    val claim = IncarnationClaim(incarnation)
    val network = TcpPeerNetwork.create(
        LocalPeer(host, zone, "127.0.0.1", bindPort, advertised),
        claim,
        registry,
        limits
    ).also { it.start() }
    private val store = HttpKeyValueStore.at(storeAddress, http, 10.seconds)
    val context = ControlContext(host, zone, store, CallBudget(100.0, 100), registry)
    private val peers = ControlPeers.of(network)
    val membership = Membership.create(context, claim, peers, seeds, times)
    val audit = AuditLog.create(context)
    val problems = ProblemLog.create(context)
    val replica = ConfigurationReplica.create(context, membership, peers, audit, relayTimes)

    fun start(): ControlNode {
        membership.start()
        replica.start()
        audit.start()
        problems.start()
        return this
    }

    fun revision(team: String) = replica.inForce()[team]?.revision ?: 0

    /** Returns how many times this host has become the relay of its zone. */
    fun relaysBegun() = registry.find("sycamoremast.control.relays.begun").counter()?.count() ?: 0.0

    fun states() = membership.members().associate { it.host to it.state }

    override fun close() {
        problems.close()
        audit.close()
        replica.close()
        membership.close()
        network.close()
    }

    /** Stops this host without notifying the others, as if its process had been killed. */
    fun kill() {
        network.close()
        replica.close()
        membership.stopSilently()
    }
}

/** Returns a small configuration of [team]; [milliCpus] distinguishes one change from another. */
internal fun configurationText(team: String, milliCpus: Long = 1_000) =
    "[team $team]\nmilli-cpus = $milliCpus\nmemory-mib = 1024\n"

/** Waits until [condition] holds; fails with [what] if it does not hold [within] the limit. */
internal fun eventually(what: String, within: Duration = 20.seconds, condition: () -> Boolean) {
    val end = System.nanoTime() + within.inWholeNanoseconds
    while (!condition()) {
        check(System.nanoTime() < end) { "not within $within: $what" }
        Thread.sleep(POLL_INTERVAL_MILLIS)
    }
}

/** Withholds changes from watches, and waits for polls in progress to end. */
internal fun KeyValueServer.freezeWatches() {
    setFaults(KeyValueFaults(freezeWatch = true))
    Thread.sleep(POLL_END_WAIT_MILLIS)
}

private const val POLL_INTERVAL_MILLIS = 20L
private const val POLL_END_WAIT_MILLIS = 300L
