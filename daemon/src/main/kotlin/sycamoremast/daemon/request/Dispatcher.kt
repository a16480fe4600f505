/**
 * Gives requests the slots of backend servers, in the order that the scheduler decides.
 *
 * One lock guards the queues, the backend servers' state and the ledger of slots. Nothing blocks
 * while it is held; a request's thread waits outside of it on its ticket.
 */
package sycamoremast.daemon.request

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.membership.MemberState
import sycamoremast.coordination.request.Arrival
import sycamoremast.coordination.request.SlotLedger
import sycamoremast.daemon.control.MembershipView

internal class Dispatcher(
    private val membership: MembershipView,
    private val settings: RequestPathSettings,
    private val random: Random = Random.Default
) : AutoCloseable {
    private val lock = ReentrantLock()
    private val lanes = hashMapOf<String, ServiceLane>()
    private val origin = System.nanoTime()

    @Volatile
    private var waitingListener: () -> Unit = {}
    private val ledger by lazy {
        val self = membership.self
        SlotLedger(self.host, settings.slotTimes, firstRound = self.incarnation * ROUNDS)
    }

    /** Returns the milliseconds since this dispatcher was made, with fractions. */
    fun nowMillis(): Double = (System.nanoTime() - origin) / NANOS_PER_MILLI

    /** Returns the decision about [arrival] at [service]; waits for it as long as it makes sense. */
    fun acquire(service: String, arrival: Arrival, avoid: Set<String>): Decision {
        val ticket = Ticket(avoid)
        val request = lock.withLock {
            val lane = lanes[service] ?: return unlisted(service)
            lane.arrive(arrival, ticket, nowMillis())
        }
        if (request == null) return checkNotNull(ticket.decision)
        if (ticket.decision == null) waitingListener()
        val patience = request.deadlineMillis - request.expectedMillis - nowMillis()
        ticket.await(patience.coerceAtLeast(0.0))?.let { return it }
        lock.withLock { lane(service).giveUp(request, ticket, nowMillis()) }
        return checkNotNull(ticket.decision)
    }

    /** Returns the refusal that [arrival] would meet now, or null if it might wait. */
    fun refusalOf(service: String, arrival: Arrival): Decision.Refused? = lock.withLock {
        val lane = lanes[service] ?: return unlisted(service)
        lane.refusalOf(arrival, nowMillis())
    }

    private fun unlisted(service: String) =
        Decision.Refused("no backend server of $service is listed", UNLISTED_RETRY)

    /** Takes back a slot, with what its use showed of the backend server. */
    fun release(service: String, granted: Decision.Granted, sign: BackendSign) = lock.withLock {
        val now = nowMillis()
        take(granted.backend, sign, now.toLong())
        lane(service).release(granted, sign is BackendSign.Answered, now)
    }

    /** Ends the use of a slot whose backend server may still work on the request. */
    fun abandon(service: String, granted: Decision.Granted, sign: BackendSign) = lock.withLock {
        val now = nowMillis()
        take(granted.backend, sign, now.toLong())
        lane(service).abandon(granted, now)
    }

    /** Returns when a caller of [service] may come back that is refused for another reason. */
    fun bookReturn(service: String): Duration =
        lock.withLock { lanes[service]?.bookReturn(nowMillis()) } ?: UNLISTED_RETRY

    /** Returns the backend servers of [service] that get new work. */
    fun usableCount(service: String): Int =
        lock.withLock { lanes[service]?.usableCount(nowMillis()) ?: 0 }

    /** Returns the requests of [service] that wait for a slot. */
    fun waitingCount(service: String): Int = lock.withLock { lanes[service]?.waiting ?: 0 }

    /** Returns whether this host has its share of the slots. */
    fun hasShare(): Boolean = lock.withLock { ledger.share("", MANY, nowMillis().toLong()) > 0 }

    /** Takes over the platform's list of hosts. */
    fun listed(hosts: List<ListedHost>) = lock.withLock {
        val servers = hosts.filter { it.role == HostRole.BACKEND_SERVER }.groupBy { it.service }
        servers.keys.forEach { lane(it) }
        for ((service, lane) in lanes) update(lane, servers[service].orEmpty())
    }

    /** Looks at the membership, and lets requests go on whose time has come. */
    fun tick() = lock.withLock {
        val now = nowMillis()
        val self = membership.self
        val others = membership.members().filter { it.host != self.host }
        // The incarnation may be raised once an earlier process with a later clock is known of.
        ledger.skipRounds(self.incarnation * ROUNDS)
        ledger.observe(others.associate { it.host to it.state }, now.toLong())
        lanes.values.forEach { lane ->
            lane.backends.forEach { limitConnections(it, now.toLong()) }
            lane.dispatch(now)
        }
    }

    /** Calls [listener], outside of the lock, whenever a request has to wait. */
    fun onWaiting(listener: () -> Unit) {
        waitingListener = listener
    }

    /** Returns whether a request of any service waits. */
    fun isAnyWaiting(): Boolean = lock.withLock { lanes.values.any { it.waiting > 0 } }

    /** Returns the hosts that can be asked for slots. */
    fun livePeers(): List<String> = membership.members()
        .filter { it.state == MemberState.LIVE && it.host != membership.self.host }
        .map { it.host }

    /** Does [action] with the lanes and the ledger, under the lock. */
    fun <T> withLanes(action: (Map<String, ServiceLane>, SlotLedger, Double) -> T): T =
        lock.withLock { action(lanes, ledger, nowMillis()) }

    override fun close() = lock.withLock {
        lanes.values.flatMap { it.backends }.forEach { it.close() }
    }

    private fun lane(service: String) = lanes.getOrPut(service) {
        val self = membership.self
        ServiceLane(settings.queueLimit, ledger, random, self.availabilityZone)
    }

    private fun update(lane: ServiceLane, hosts: List<ListedHost>) {
        val known = lane.backends.associateBy { it.name }
        val listed = hosts.map { host ->
            val kept = known[host.name]?.takeIf { it.host.address == host.address }
            (kept ?: Backend(host)).also { it.health.updateListing(host.state) }
        }
        val missing = lane.backends - listed.toSet()
        missing.forEach { it.health.updateListing(stateOfMissing(lane, missing)) }
        lane.backends = listed + missing.filter { it.inUse > 0 || !isLeaving(it) }
        lane.dispatch(nowMillis())
    }

    /** If most servers vanish from the list at once, the list is doubted; they are tried still. */
    private fun stateOfMissing(lane: ServiceLane, missing: List<Backend>): HostState? {
        val doubted = missing.size > MIN_DOUBTED && 2 * missing.size > lane.backends.size
        return if (doubted) HostState.LIVE else null
    }

    private fun isLeaving(backend: Backend) = backend.health.isLeaving(nowMillis().toLong())

    private fun take(backend: Backend, sign: BackendSign, nowMillis: Long) = when (sign) {
        is BackendSign.Answered -> backend.health.recordSuccess()
        is BackendSign.Busy -> backend.busyUntilMillis = nowMillis + random.nextLong(BUSY_MILLIS)
        is BackendSign.Unreachable -> backend.health.recordConnectFailure(nowMillis)
        is BackendSign.Broken -> backend.health.recordFailure(nowMillis)
        is BackendSign.Nothing -> Unit
    }.also { if (sign.isDraining) backend.health.markDraining(nowMillis) }

    /** A slot moves between hosts together with a connection, so that one limit follows both. */
    private fun limitConnections(backend: Backend, nowMillis: Long) {
        val limit = ledger.limit(backend.name, backend.host.connections, nowMillis)
        if (backend.client.connectionCount > limit) backend.client.closeIdle()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1e6
        const val ROUNDS = 1_000_000L
        const val MANY = 1_000
        const val BUSY_MILLIS = 20L
        val UNLISTED_RETRY = 1.seconds

        /** Up to this many servers may vanish from the list together without doubt. */
        const val MIN_DOUBTED = 2
    }
}

/** What an attempt showed of its backend server. */
internal sealed interface BackendSign {
    /** Whether the server announced that it is leaving. */
    val isDraining: Boolean

    /** It answered whole. */
    data class Answered(override val isDraining: Boolean) : BackendSign

    /** It refused for want of a slot or a connection. */
    data class Busy(override val isDraining: Boolean) : BackendSign

    /** It can't be reached, or refuses all work. */
    data class Unreachable(override val isDraining: Boolean = false) : BackendSign

    /** It failed after it had got the request, or at least a part of it. */
    data object Broken : BackendSign {
        override val isDraining = false
    }

    /** Nothing: the attempt ended for another reason. */
    data object Nothing : BackendSign {
        override val isDraining = false
    }
}
