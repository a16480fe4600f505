/**
 * Which entry hosts there are, from their registrations and their heartbeats.
 *
 * A host registers under a lease, sends heartbeats to the hosts it is connected to, and judges the
 * others by a [MemberTable]. Seeds from the settings let it find peers while the key-value service
 * is down.
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
 * The intervals of membership; a registration lapses [leaseTtl] after its last renewal.
 *
 * Each [heartbeat] interval the peers are asked that have not been heard for some intervals.
 */
data class MembershipTimes(
    val heartbeat: Duration = 500.milliseconds,
    val leaseTtl: Duration = 10.seconds,
    val leaseRenewal: Duration = 3.seconds,
    val listingAfter: Duration = 20.seconds,
    val listingPushEvery: Duration = 30.seconds,
    val members: MemberTimeouts = MemberTimeouts()
)

/** The entry hosts as this one sees them; [start] begins to register and to send heartbeats. */
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
    private val heartbeats = ControlLoop("heartbeats", times.heartbeat.inWholeMilliseconds) {
        heartbeatStep()
    }
    private val registrations =
        ControlLoop("registration", times.leaseRenewal.inWholeMilliseconds) { registrationStep() }
    private val pacing = HeartbeatPacing(times.heartbeat.inWholeMilliseconds)
    private val hurried = AtomicBoolean()
    private val reported = mutableMapOf<String, MemberState>()

    @Volatile
    private var describe: () -> Heartbeat = { Heartbeat(claim.value, 0) }

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

    /** The lease that this host is registered under, while it is sure to hold it. */
    internal val lease: LeaseId? get() = registration.lease

    override fun members(): List<Member> =
        (table.members().map { it.toMember() } + self).sortedBy { it.host }

    /** Returns why this host must not serve as a member; empty if it may. */
    fun notReadyBecause(): List<String> = listOfNotNull(
        claim.supersededBy?.let { "incarnation $it of host ${context.host} has replaced this one" }
    )

    /** Begins to register, to connect to the other hosts and to send heartbeats. */
    fun start() {
        peers.network.handle(Heartbeat::class) { from, beat -> null.also { heard(from, beat) } }
        peers.network.handle(Leaving::class) { from, leaving ->
            table.recordDeparture(from, leaving.incarnation, context.nowMillis())
            null
        }
        peers.network.handle(RegisteredHosts::class) { _, registered ->
            takeRegistered(registered.hosts)
            null
        }
        heartbeats.start()
        registrations.start()
    }

    /** Announces this host's end to the others and ends its registration. */
    override fun close() {
        stopWithoutFarewell()
        val leaving = Leaving(claim.value)
        peers.connections.connected().forEach { peers.network.send(it.host, leaving) }
        registration.end()
    }

    /** Ends the loops alone, so that this host seems to have been killed. */
    internal fun stopWithoutFarewell() {
        registrations.close()
        heartbeats.close()
    }

    /** Has [content] describe this host in each heartbeat. */
    internal fun describeBy(content: () -> Heartbeat) {
        describe = content
    }

    /** Calls [listener] for each heartbeat of another host. */
    internal fun onHeartbeat(listener: (HostProcess, Heartbeat) -> Unit) {
        listeners += listener
    }

    /** Sends a heartbeat to all hosts of this availability zone soon. */
    internal fun hurryHeartbeat() {
        hurried.set(true)
        heartbeats.wake()
    }

    /** Reads all registrations and passes them on to the hosts of this availability zone. */
    internal fun refreshRegistered(): Boolean {
        val listing = context.budgeted.list(ControlKeys.HOSTS)
        if (listing !is Either.Right) return false
        val hosts = listing.value.entries.mapNotNull {
            RegisteredHost.parseOrNull(it.value)?.identity
        }
        takeRegistered(hosts)
        pushRegistered(hosts)
        return true
    }

    internal fun heartbeatStep() {
        table.tick(context.nowMillis())
        peers.connections.dial(knownAddresses())
        sendHeartbeats()
        reportChanges()
    }

    private fun sendHeartbeats() {
        val beat = heartbeat()
        val connected = peers.connections.connected()
        pacing.retain(connected.map { it.host })
        val isHurried = hurried.getAndSet(false)
        for (peer in connected) {
            val isInZone = peer.availabilityZone == context.availabilityZone
            if (pacing.isDue(peer.host, isInZone && beat.watching, context.nowMillis())) {
                peers.network.send(peer.host, beat.copy(asks = true))
            } else if (isHurried && isInZone) {
                peers.network.send(peer.host, beat)
            }
        }
    }

    private fun heartbeat() = describe().copy(incarnation = claim.value)

    internal fun registrationStep() {
        registration.step()
        val listed = listedAtMillis
        val due = listed == null ||
            context.nowMillis() - listed >= times.listingAfter.inWholeMilliseconds
        if (due) refreshRegistered()
    }

    private fun heard(from: String, beat: Heartbeat) {
        val peer = peers.connections.connected().find { it.host == from } ?: return
        val process = peer.toProcess().copy(incarnation = beat.incarnation)
        if (!table.recordMessage(process, context.nowMillis())) return
        val isInZone = peer.availabilityZone == context.availabilityZone
        pacing.heard(from, isInZone && beat.watching, context.nowMillis())
        if (beat.asks) peers.network.send(from, heartbeat())
        listeners.forEach { it(process, beat) }
    }

    private fun takeRegistered(hosts: List<PeerIdentity>) {
        listedAtMillis = context.nowMillis()
        table.recordListing(hosts.map { it.toProcess() }, context.nowMillis())
    }

    private fun pushRegistered(hosts: List<PeerIdentity>) {
        val now = context.nowMillis()
        val due = now - pushedAtMillis >= times.listingPushEvery.inWholeMilliseconds
        if (hosts == lastPushed && !due) return
        lastPushed = hosts
        pushedAtMillis = now
        peers.zonePeers(context.availabilityZone)
            .forEach { peers.network.send(it, RegisteredHosts(hosts)) }
    }

    private fun knownAddresses(): Set<String> {
        val known = table.members().filter { it.state != MemberState.GONE }
        return seeds + known.map { it.process.address }
    }

    private fun reportChanges() {
        for (member in table.members()) {
            val host = member.process.host
            if (reported.put(host, member.state) == member.state) continue
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
         * [claim] has to be the one that the peer network introduces this host with.
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
