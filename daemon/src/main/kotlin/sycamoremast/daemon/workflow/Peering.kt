/** A host's part in the network of entry hosts: registry, connections and the relay of orders. */
package sycamoremast.daemon.workflow

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.coordination.store.Backoff
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.KtorPeerNetwork
import sycamoremast.daemon.peer.LocalPeer
import sycamoremast.daemon.peer.PeerLimits
import sycamoremast.daemon.peer.RelayedAnswers

/** Connects host [name] with the others; it relays orders by [runs]. */
internal class Peering(
    name: String,
    peers: WorkflowPeers,
    store: TransactionalStore,
    runs: RunPort,
    private val log: EventLog,
    meters: WorkflowMeters
) : AutoCloseable {
    private val network = KtorPeerNetwork.create(
        LocalPeer(name, peers.availabilityZone, peers.address.ip, peers.address.port),
        IncarnationClaim(System.currentTimeMillis(), isOnlyProcess = true),
        meters.registry,
        PeerLimits(redial = REDIAL)
    )
    private val registry = HostRegistry(
        store,
        name,
        HostRecord(peers.address.toString(), peers.availabilityZone, peers.cores),
        log,
        ::onRound
    )
    private val relay = OrderRelay(runs, network, log)
    private val peerRelays = PeerRelays(network, registry)
    val relays: Relays get() = peerRelays
    val isStrongerKnown: Boolean get() = registry.isStrongerKnown

    /** Returns the dispatch of the owner on this host, or null while another host is the owner. */
    var dispatch: () -> OrderDispatch? = { null }

    /** Is called while this host owns a large fleet that a stronger host should own. */
    var onStrongerHost: () -> Unit = {}

    fun start() {
        network.handle(RelayedAnswers::class) { _, message ->
            dispatch()?.answered(message)
            null
        }
        relay.start()
        network.start()
        registry.start()
    }

    /** Hosts that may own a large fleet stay connected to those that would relay for them. */
    private fun onRound() {
        val isLarge = dispatch()?.isLarge == true
        val mayOwn = registry.hosts.size >= LEAST_CONNECTED_HOSTS && !registry.isStrongerKnown
        if (isLarge || mayOwn) peerRelays.connect()
        if (!isLarge || !registry.isStrongerKnown) return
        log.add("stronger-host-known", "hosts" to registry.hosts.size)
        onStrongerHost()
    }

    override fun close() {
        registry.close()
        relay.close()
        network.close()
    }

    private companion object {
        /** Smaller deployments have fleets that one host serves by itself. */
        const val LEAST_CONNECTED_HOSTS = 12

        /** A host that restarts is there again within seconds. */
        val REDIAL = Backoff(200.milliseconds, 2.seconds)
    }
}
