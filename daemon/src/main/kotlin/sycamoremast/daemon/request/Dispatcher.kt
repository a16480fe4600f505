/**
 * Assigns slots of backend servers to requests, in the order that the scheduler decides.
 *
 * One lock guards the queues, the state of the backend servers and the slot ledger. Nothing blocks
 * while the lock is held; the thread of a request waits on its ticket without the lock.
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

/** Assigns slots of backend servers to the requests of all services. */
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

    /** Returns the monotonic time in milliseconds since this dispatcher was created. */
    fun nowMillis(): Double = (System.nanoTime() - origin) / NANOS_PER_MILLI

    /**
     * Queues [arrival] for [service] and waits for the decision.
     *
     * The wait ends when too little time is left for the request to finish by its deadline. Backend
     * servers in [avoid] are used only if no other has a free slot.
     */
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

    /** Returns the refusal that [arrival] would get now, or null if it would be admitted. */
    fun refusalOf(service: String, arrival: Arrival): Decision.Refused? = lock.withLock {
        val lane = lanes[service] ?: return unlisted(service)
        lane.refusalOf(arrival, nowMillis())
    }

    private fun unlisted(service: String) =
        Decision.Refused("no backend server of $service is listed", UNLISTED_RETRY)

    /** Releases the slot of [granted], and records [sign] about its backend server. */
    fun release(service: String, granted: Decision.Granted, sign: BackendSign) = lock.withLock {
        val now = nowMillis()
        take(granted.backend, sign, now.toLong())
        lane(service).release(granted, sign is BackendSign.Answered, now)
    }

    /** Like [release], but keeps the slot occupied, as the server may still be running the request. */
    fun abandon(service: String, granted: Decision.Granted, sign: BackendSign) = lock.withLock {
        val now = nowMillis()
        take(granted.backend, sign, now.toLong())
        lane(service).abandon(granted, now)
    }

    /**
     * Reserves a time for the retry of a caller of [service], and returns the delay until then.
     *
     * It serves requests that failed for a reason other than a refusal by the scheduler.
     */
    fun bookReturn(service: String): Duration =
        lock.withLock { lanes[service]?.bookReturn(nowMillis()) } ?: UNLISTED_RETRY

    /** Returns the number of backend servers of [service] that get new requests. */
    fun usableCount(service: String): Int =
        lock.withLock { lanes[service]?.usableCount(nowMillis()) ?: 0 }

    /** Returns the number of requests of [service] that wait for a slot. */
    fun waitingCount(service: String): Int = lock.withLock { lanes[service]?.waiting ?: 0 }

    /** Returns whether this host has a share of the slots. */
    fun hasShare(): Boolean = lock.withLock { ledger.share("", MANY, nowMillis().toLong()) > 0 }

    /** Applies the platform's list of [hosts]. */
    fun listed(hosts: List<ListedHost>) = lock.withLock {
        val servers = hosts.filter { it.role == HostRole.BACKEND_SERVER }.groupBy { it.service }
        servers.keys.forEach { lane(it) }
        for ((service, lane) in lanes) update(lane, servers[service].orEmpty())
    }

    /** Applies the current membership to the slot ledger, and dispatches waiting requests. */
    fun tick() = lock.withLock {
        val now = nowMillis()
        val self = membership.self
        val others = membership.members().filter { it.host != self.host }
        // Raised once a previous process of this host with a later clock becomes known.
        ledger.numberFrom(self.incarnation * ROUNDS)
        ledger.observe(others.associate { it.host to it.state }, now.toLong())
        lanes.values.forEach { lane ->
            lane.backends.forEach { limitConnections(it, now.toLong()) }
            lane.dispatch(now)
        }
    }

    /** Sets the [listener] that is called, without the lock, whenever a request has to wait. */
    fun onWaiting(listener: () -> Unit) {
        waitingListener = listener
    }

    /** Returns whether a request of any service is waiting. */
    fun isAnyWaiting(): Boolean = lock.withLock { lanes.values.any { it.waiting > 0 } }

    /** Returns the other live entry hosts, which can be asked for slots. */
    fun livePeers(): List<String> = membership.members()
        .filter { it.state == MemberState.LIVE && it.host != membership.self.host }
        .map { it.host }

    /** Runs [action] with the queues by service, the slot ledger and the current time, under the lock. */
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
            (kept ?: Backend(host)).also { it.health.listed(host.state) }
        }
        val missing = lane.backends - listed.toSet()
        missing.forEach { it.health.listed(stateOfMissing(lane, missing)) }
        lane.backends = listed + missing.filter { it.inUse > 0 || !isLeaving(it) }
        lane.dispatch(nowMillis())
    }

    /**
     * Returns the state to assume for servers that are [missing] from the list.
     *
     * If most servers disappear from the list at once, the list is presumed wrong, and they are
     * still treated as live.
     */
    private fun stateOfMissing(lane: ServiceLane, missing: List<Backend>): HostState? {
        val doubted = missing.size > MIN_DOUBTED && 2 * missing.size > lane.backends.size
        return if (doubted) HostState.LIVE else null
    }

    private fun isLeaving(backend: Backend) = backend.health.isLeaving(nowMillis().toLong())

    private fun take(backend: Backend, sign: BackendSign, nowMillis: Long) = when (sign) {
        is BackendSign.Answered -> backend.health.answered()
        is BackendSign.Busy -> backend.busyUntilMillis = nowMillis + random.nextLong(BUSY_MILLIS)
        is BackendSign.Unreachable -> backend.health.connectFailed(nowMillis)
        is BackendSign.Broken -> backend.health.failed(nowMillis)
        is BackendSign.Nothing -> Unit
    }.also { if (sign.isDraining) backend.health.draining(nowMillis) }

    /**
     * Closes idle connections if there are more than this host's limit.
     *
     * A slot moves between hosts together with a connection, so the connections follow the slots.
     */
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

        /** Up to this many servers may disappear together before the list is presumed wrong. */
        const val MIN_DOUBTED = 2
    }
}

/** What an attempt reveals about the health of its backend server. */
internal sealed interface BackendSign {
    /** Whether the server announced that it is draining. */
    val isDraining: Boolean

    /** The server sent a complete response. */
    data class Answered(override val isDraining: Boolean) : BackendSign

    /** The server refused the request because all its slots or connections were in use. */
    data class Busy(override val isDraining: Boolean) : BackendSign

    /** The server can't be reached, or refuses all requests. */
    data class Unreachable(override val isDraining: Boolean = false) : BackendSign

    /** The server failed after it had received at least a part of the request. */
    data object Broken : BackendSign {
        override val isDraining = false
    }

    /** The attempt ended for a reason that says nothing about the server. */
    data object Nothing : BackendSign {
        override val isDraining = false
    }
}
