/**
 * Membership of the entry hosts, derived from their registrations and heartbeats.
 *
 * A host registers under a lease, sends heartbeats to the hosts it is connected to, and tracks the
 * state of the others in a [MemberTable]. Seed addresses from the settings let it find peers while
 * the key-value service is unavailable.
 */
package sycamoremast.daemon.control

import arrow.core.Either
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.membership.HostProcess
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.coordination.membership.KnownMember
import sycamoremast.coordination.membership.MemberTable
import sycamoremast.coordination.membership.MemberTimeouts
import sycamoremast.daemon.log.event
import sycamoremast.daemon.peer.Heartbeat
import sycamoremast.daemon.peer.Leaving
import sycamoremast.daemon.peer.PeerIdentity
import sycamoremast.daemon.peer.RegisteredHosts

/**
 * The intervals of heartbeats, registrations and listings of registrations.
 *
 * A registration expires [leaseTtl] after its last renewal. Every [heartbeatInterval], a heartbeat
 * that requests a reply goes to the peers that have been silent for some intervals. Registrations
 * are listed again [listingInterval] after the last listing, and an unchanged listing is sent to
 * the zone again after [listingPushInterval].
 */
data class MembershipTimes(
    val heartbeatInterval: Duration = 500.milliseconds,
    val leaseTtl: Duration = 10.seconds,
    val leaseRenewalInterval: Duration = 3.seconds,
    val listingInterval: Duration = 20.seconds,
    val listingPushInterval: Duration = 30.seconds,
    val members: MemberTimeouts = MemberTimeouts()
)

/** Tracks the entry hosts; [start] starts registration and heartbeats. */
class Membership private constructor(
    private val context: ControlContext,
    private val claim: IncarnationClaim,
    private val peers: ControlPeers,
    private val seeds: Set<String>,
    private val times: MembershipTimes
) : MembershipView,
    AutoCloseable {
    private val table = MemberTable(context.host, times.members)
    private val registration =
        HostRegistration(context, claim, times.leaseTtl) { peers.ownAddress() }
    private val listeners = CopyOnWriteArrayList<(HostProcess, Heartbeat) -> Unit>()
    private val heartbeats =
        ControlLoop("heartbeats", times.heartbeatInterval.inWholeMilliseconds) { heartbeatStep() }
    private val registrations =
        ControlLoop("registration", times.leaseRenewalInterval.inWholeMilliseconds) {
            registrationStep()
        }
    private val pacing = HeartbeatPacing(times.heartbeatInterval.inWholeMilliseconds)
    private val isHeartbeatExpedited = AtomicBoolean()
    private val reportedStates = mutableMapOf<String, MemberState>()

    @Volatile
    private var heartbeatSource: () -> Heartbeat = { Heartbeat(claim.value, 0) }

    @Volatile
    private var listedAtMillis: Long? = null

    @Volatile
    private var pushedAtMillis = Long.MIN_VALUE / 2

    @Volatile
    private var lastPushed: List<PeerIdentity> = emptyList()

    override val self: Member
        get() = Member(
            context.host,
            context.availabilityZone,
            claim.value,
            peers.ownAddress(),
            MemberState.LIVE
        )

    /** The lease that this host is registered under, or null when it may have expired. */
    internal val lease: LeaseId? get() = registration.lease

    override fun members(): List<Member> =
        (table.members().map { it.toMember() } + self).sortedBy { it.host }

    /** Returns the reasons why this host must not serve as a member; empty if it may serve. */
    fun notReadyBecause(): List<String> = listOfNotNull(
        claim.supersededBy?.let { "incarnation $it of host ${context.host} has replaced this one" }
    )

    /** Starts to register this host, to connect to the other hosts and to send heartbeats. */
    fun start() {
        peers.network.handle(Heartbeat::class) { from, heartbeat ->
            null.also { receiveHeartbeat(from, heartbeat) }
        }
        peers.network.handle(Leaving::class) { from, leaving ->
            table.recordDeparture(from, leaving.incarnation, context.nowMillis())
            null
        }
        peers.network.handle(RegisteredHosts::class) { _, registered ->
            applyRegistrations(registered.hosts)
            null
        }
        heartbeats.start()
        registrations.start()
    }

    /** Tells the connected hosts that this one is leaving, and deregisters it. */
    override fun close() {
        stopSilently()
        val leaving = Leaving(claim.value)
        peers.connections.connected().forEach { peers.network.send(it.host, leaving) }
        registration.deregister()
    }

    /** Stops only the loops, without notifying any host, as if the process had been killed. */
    internal fun stopSilently() {
        registrations.close()
        heartbeats.close()
    }

    /** Sets the [source] of the content of heartbeats; the incarnation is filled in here. */
    internal fun setHeartbeatSource(source: () -> Heartbeat) {
        heartbeatSource = source
    }

    /** Calls [listener] for each heartbeat received from another host. */
    internal fun onHeartbeat(listener: (HostProcess, Heartbeat) -> Unit) {
        listeners += listener
    }

    /** Wakes the loop to send a heartbeat to all connected hosts of this availability zone. */
    internal fun expediteHeartbeat() {
        isHeartbeatExpedited.set(true)
        heartbeats.wake()
    }

    /**
     * Reads all registrations and sends them to the connected hosts of this availability zone.
     *
     * Returns false if they can't be read.
     */
    internal fun refreshRegistrations(): Boolean {
        val listing = context.budgetedStore.list(ControlKeys.HOSTS)
        if (listing !is Either.Right) return false
        val hosts = listing.value.entries.mapNotNull {
            RegisteredHost.parseOrNull(it.value)?.identity
        }
        applyRegistrations(hosts)
        pushRegistrations(hosts)
        return true
    }

    internal fun heartbeatStep() {
        table.tick(context.nowMillis())
        peers.connections.dial(knownAddresses())
        sendHeartbeats()
        reportStateChanges()
    }

    private fun sendHeartbeats() {
        val heartbeat = currentHeartbeat()
        val connected = peers.connections.connected()
        pacing.retain(connected.map { it.host })
        val isExpedited = isHeartbeatExpedited.getAndSet(false)
        for (peer in connected) {
            val isInZone = peer.availabilityZone == context.availabilityZone
            if (pacing.isDue(peer.host, isInZone && heartbeat.watching, context.nowMillis())) {
                peers.network.send(peer.host, heartbeat.copy(requestsReply = true))
            } else if (isExpedited && isInZone) {
                peers.network.send(peer.host, heartbeat)
            }
        }
    }

    private fun currentHeartbeat() = heartbeatSource().copy(incarnation = claim.value)

    internal fun registrationStep() {
        registration.step()
        val listed = listedAtMillis
        val isDue = listed == null ||
            context.nowMillis() - listed >= times.listingInterval.inWholeMilliseconds
        if (isDue) refreshRegistrations()
    }

    private fun receiveHeartbeat(from: String, heartbeat: Heartbeat) {
        val peer = peers.connections.connected().find { it.host == from } ?: return
        val process = peer.toProcess().copy(incarnation = heartbeat.incarnation)
        if (!table.recordMessage(process, context.nowMillis())) return
        val isInZone = peer.availabilityZone == context.availabilityZone
        pacing.recordHeartbeat(from, isInZone && heartbeat.watching, context.nowMillis())
        if (heartbeat.requestsReply) peers.network.send(from, currentHeartbeat())
        listeners.forEach { it(process, heartbeat) }
    }

    private fun applyRegistrations(hosts: List<PeerIdentity>) {
        listedAtMillis = context.nowMillis()
        table.recordListing(hosts.map { it.toProcess() }, context.nowMillis())
    }

    private fun pushRegistrations(hosts: List<PeerIdentity>) {
        val now = context.nowMillis()
        val isDue = now - pushedAtMillis >= times.listingPushInterval.inWholeMilliseconds
        if (hosts == lastPushed && !isDue) return
        lastPushed = hosts
        pushedAtMillis = now
        peers.zonePeers(context.availabilityZone)
            .forEach { peers.network.send(it, RegisteredHosts(hosts)) }
    }

    private fun knownAddresses(): Set<String> {
        val known = table.members().filter { it.state != MemberState.GONE }
        return seeds + known.map { it.process.address }
    }

    private fun reportStateChanges() {
        for (member in table.members()) {
            val host = member.process.host
            if (reportedStates.put(host, member.state) == member.state) continue
            context.count("member.changes", "state", member.state.name.lowercase())
            Logger.info {
                event(
                    "member-changed",
                    "peer" to host,
                    "state" to member.state.name.lowercase(),
                    "incarnation" to member.process.incarnation
                )
            }
        }
    }

    companion object {
        /**
         * Returns the membership of the host in [context]; [seeds] are addresses of other hosts.
         *
         * [claim] must be the one that the peer network uses to introduce this host.
         */
        fun create(
            context: ControlContext,
            claim: IncarnationClaim,
            peers: ControlPeers,
            seeds: Set<String>,
            times: MembershipTimes = MembershipTimes()
        ): Membership = Membership(context, claim, peers, seeds, times)
    }
}

private fun PeerIdentity.toProcess() = HostProcess(host, availabilityZone, peerAddress, incarnation)

private fun KnownMember.toMember() = Member(
    process.host,
    process.availabilityZone,
    process.incarnation,
    process.address,
    state
)
