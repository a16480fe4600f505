/** Control planes of several hosts in one process, with a real network and key-value service. */
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
import sycamoremast.daemon.peer.KtorPeerNetwork
import sycamoremast.daemon.peer.LocalPeer
import sycamoremast.daemon.peer.PeerLimits
import sycamoremast.daemon.platform.HttpKeyValueStore
import sycamoremast.daemon.platform.PlatformTimeouts
import sycamoremast.daemon.platform.platformHttpClient
import sycamoremast.standins.KeyValueFaults
import sycamoremast.standins.KeyValueServer

/** Intervals that keep tests short. */
internal val quickTimes = MembershipTimes(
    heartbeat = 200.milliseconds,
    leaseTtl = 3.seconds,
    leaseRenewal = 700.milliseconds,
    listingAfter = 3.seconds,
    members = MemberTimeouts(1.seconds, 3.seconds, 60.seconds)
)

internal val quickRelay = RelayTimes(
    silentAfter = 800.milliseconds,
    renewWatch = 1.seconds,
    refreshHosts = 500.milliseconds,
    takeKeyAgain = 1.seconds,
    readAgain = 3.seconds,
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

/** The control plane of one host, as the daemon puts it together. */
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
    val network = KtorPeerNetwork.create(
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

    /** How often this host began to watch for its zone. */
    fun relaysBegun() = registry.find("sycamoremast.control.relays.begun").counter()?.count() ?: 0.0

    fun states() = membership.members().associate { it.host to it.state }

    override fun close() {
        problems.close()
        audit.close()
        replica.close()
        membership.close()
        network.close()
    }

    /** Ends this host without any farewell, as when its process is killed. */
    fun kill() {
        network.close()
        replica.close()
        membership.stopWithoutFarewell()
    }
}

/** Returns a small configuration of [team] whose quota tells one change from another. */
internal fun configurationText(team: String, milliCpus: Long = 1_000) =
    "[team $team]\nmilli-cpus = $milliCpus\nmemory-mib = 1024\n"

/** Waits until [condition] holds. */
internal fun eventually(what: String, within: Duration = 20.seconds, condition: () -> Boolean) {
    val end = System.nanoTime() + within.inWholeNanoseconds
    while (!condition()) {
        check(System.nanoTime() < end) { "not within $within: $what" }
        Thread.sleep(POLL_MILLIS)
    }
}

/** Holds back what watches see, and lets polls that had begun before come to their end. */
internal fun KeyValueServer.freezeWatches() {
    setFaults(KeyValueFaults(freezeWatch = true))
    Thread.sleep(POLLS_ENDED_MILLIS)
}

private const val POLL_MILLIS = 20L
private const val POLLS_ENDED_MILLIS = 300L
