/** The parts of a daemon that manage membership, configuration, audit trail and problems. */
package sycamoremast.daemon

import io.micrometer.core.instrument.MeterRegistry
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.configuration.Endpoint
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.coordination.store.CallBudget
import sycamoremast.daemon.control.AuditLog
import sycamoremast.daemon.control.ConfigurationReplica
import sycamoremast.daemon.control.ControlContext
import sycamoremast.daemon.control.ControlPeers
import sycamoremast.daemon.control.Membership
import sycamoremast.daemon.control.MembershipTimes
import sycamoremast.daemon.control.ProblemLog
import sycamoremast.daemon.peer.LocalPeer
import sycamoremast.daemon.peer.PeerLimits
import sycamoremast.daemon.peer.TcpPeerNetwork
import sycamoremast.daemon.settings.DaemonSettings

/** The control plane of one entry host. */
internal class ControlPlane private constructor(
    val store: KeyValueStore,
    val callBudget: CallBudget,
    val network: TcpPeerNetwork,
    val membership: Membership,
    val replica: ConfigurationReplica,
    val audit: AuditLog,
    val problems: ProblemLog
) : AutoCloseable {
    /** The address at which other hosts reach this one; available once started. */
    val peerAddress: String get() = network.address

    /** Starts all parts, the peer network first. */
    fun start() {
        network.start()
        membership.start()
        audit.start()
        problems.start()
        replica.start()
    }

    /** Returns the reasons why this host must not receive callers' requests yet; empty if ready. */
    fun notReadyBecause(): List<String> = membership.notReadyBecause() + replica.notReadyBecause()

    override fun close() {
        replica.close()
        problems.close()
        audit.close()
        membership.close()
        network.close()
    }

    companion object {
        /** Returns a control plane with these [settings] that is not started yet. */
        fun from(
            settings: DaemonSettings,
            store: KeyValueStore,
            callBudget: CallBudget,
            registry: MeterRegistry
        ): ControlPlane {
            val context = ControlContext(
                host = settings.host.name,
                availabilityZone = settings.host.availabilityZone,
                store = store,
                calls = callBudget,
                registry = registry
            )
            val claim = IncarnationClaim(System.currentTimeMillis())
            val network =
                TcpPeerNetwork.create(localPeer(settings), claim, registry, limits(settings))
            val peers = ControlPeers.of(network)
            val seeds = settings.peers.addresses.map(Endpoint::toString).toSet()
            val membership = Membership.create(context, claim, peers, seeds, times(settings))
            val audit = AuditLog.create(context)
            val replica = ConfigurationReplica.create(context, membership, peers, audit)
            val problems = ProblemLog.create(context)
            return ControlPlane(store, callBudget, network, membership, replica, audit, problems)
        }

        private fun localPeer(settings: DaemonSettings) = LocalPeer(
            host = settings.host.name,
            availabilityZone = settings.host.availabilityZone,
            bindHost = settings.listen.peers.ip,
            bindPort = settings.listen.peers.port,
            advertised = settings.advertise.peers?.toString()
        )

        private fun limits(settings: DaemonSettings) =
            PeerLimits(maxMessageBytes = settings.peers.maxMessageBytes)

        private fun times(settings: DaemonSettings) =
            MembershipTimes(heartbeatInterval = settings.peers.heartbeatMillis.milliseconds)
    }
}
