/** Connects an entry host with its peers: registry, connections, order relay and heartbeats. */
package sycamoremast.daemon.workflow

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.coordination.store.Backoff
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.LocalPeer
import sycamoremast.daemon.peer.PeerLimits
import sycamoremast.daemon.peer.RelayedAnswers
import sycamoremast.daemon.peer.TcpPeerNetwork

/** Connects [process] with the other hosts and relays their orders to workers through [runs]. */
internal class Peering(
    process: HostProcess,
    peers: WorkflowPeers,
    store: TransactionalStore,
    runs: RunPort,
    private val log: EventLog,
    meters: WorkflowMeters,
    clock: MonotonicClock = MonotonicClock.system()
) : AutoCloseable {
    private val network = TcpPeerNetwork.create(
        LocalPeer(
            process.host,
            peers.availabilityZone,
            peers.address.ip,
            peers.address.port,
            peers.advertised.toString()
        ),
        IncarnationClaim(System.currentTimeMillis(), isOnlyProcess = true),
        meters.registry,
        PeerLimits(redial = REDIAL)
    )
    private val registry = HostRegistry(
        store,
        process.host,
        HostRecord(peers.advertised.toString(), peers.availabilityZone, peers.cores, process.id),
        log,
        ::onRenewalAttempt
    )
    private val relay = OrderRelay(runs, network, clock, log)
    private val targets = PeerTargets(network)
    private val peerRelays = PeerRelays(network, targets, registry)
    val relays: Relays get() = peerRelays

    /** The exchange of heartbeats with other hosts. */
    val standbys = StandbyPeers(process, network, targets, registry, clock, log)
    val hasStrongerHost: Boolean get() = registry.hasStrongerHost

    /** Returns the dispatch of this host's scheduler, or null while another host is the owner. */
    var dispatch: () -> OrderDispatch? = { null }

    /** Called repeatedly while this host owns a large fleet and a stronger host is registered. */
    var onStrongerHost: () -> Unit = {}

    fun start() {
        network.handle(RelayedAnswers::class) { _, message ->
            dispatch()?.onRelayedAnswers(message)
            null
        }
        relay.start()
        standbys.start()
        network.start()
        registry.start()
    }

    /** Keeps a host that owns or may come to own a large fleet connected to its relays. */
    private fun onRenewalAttempt() {
        val isLargeFleet = dispatch()?.isLargeFleet == true
        val mayOwnLargeFleet =
            registry.hosts.size >= MIN_HOSTS_FOR_RELAYS && !registry.hasStrongerHost
        if (isLargeFleet || mayOwnLargeFleet) peerRelays.connect()
        standbys.refresh()
        if (!isLargeFleet || !registry.hasStrongerHost) return
        log.add("stronger-host-known", "hosts" to registry.hosts.size)
        onStrongerHost()
    }

    /**
     * Tells the others that this process, which knows of no owner after that of [lastEpoch], is
     * stopping, [lastOwner] first.
     */
    fun leave(lastOwner: String?, lastEpoch: () -> Long) {
        standbys.announceEnd(lastOwner, lastEpoch)
        registry.leave()
    }

    override fun close() {
        registry.close()
        relay.close()
        network.close()
    }

    private companion object {
        /** Smaller deployments have fleets that one host serves without relays. */
        const val MIN_HOSTS_FOR_RELAYS = 12

        /** A restarting host is reachable again within seconds. */
        val REDIAL = Backoff(200.milliseconds, 2.seconds)
    }
}
