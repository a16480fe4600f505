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
    private val queues = hashMapOf<String, ServiceQueue>()
    private val origin = System.nanoTime()

    @Volatile
    private var waitingListener: () -> Unit = {}
    private val ledger by lazy {
        val self = membership.self
        SlotLedger(
            self.host,
            settings.slotTimes,
            firstRound = self.incarnation * ROUNDS_PER_INCARNATION
        )
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
            val queue = queues[service] ?: return unlistedService(service)
            queue.offer(arrival, ticket, nowMillis())
        }
        if (request == null) return checkNotNull(ticket.decision)
        if (ticket.decision == null) waitingListener()
        val waitMillis = request.deadlineMillis - request.expectedMillis - nowMillis()
        ticket.await(waitMillis.coerceAtLeast(0.0))?.let { return it }
        lock.withLock { queueOf(service).expire(request, ticket, nowMillis()) }
        return checkNotNull(ticket.decision)
    }

    /** Returns the refusal that [arrival] would get now, or null if it would be admitted. */
    fun refusalOf(service: String, arrival: Arrival): Decision.Refused? = lock.withLock {
        val queue = queues[service] ?: return unlistedService(service)
        queue.refusalOf(arrival, nowMillis())
    }

    private fun unlistedService(service: String) =
        Decision.Refused("no backend server of $service is listed", UNLISTED_RETRY_AFTER)

    /** Releases the slot of [granted], and records [sign] about its backend server. */
    fun release(service: String, granted: Decision.Granted, sign: BackendSign) = lock.withLock {
        val now = nowMillis()
        recordSign(granted.backend, sign, now.toLong())
        queueOf(service).release(granted, sign is BackendSign.Answered, now)
    }

    /**
     * Ends the use of the slot of [granted], and records [sign] about its backend server.
     *
     * The slot stays occupied for a while, as the server may still be running the request.
     */
    fun abandon(service: String, granted: Decision.Granted, sign: BackendSign) = lock.withLock {
        val now = nowMillis()
        recordSign(granted.backend, sign, now.toLong())
        queueOf(service).abandon(granted, now)
    }

    /**
     * Reserves a time for the retry of a caller of [service], and returns the delay until then.
     *
     * It serves requests that failed for a reason other than a refusal by the scheduler.
     */
    fun reserveRetry(service: String): Duration =
        lock.withLock { queues[service]?.reserveRetry(nowMillis()) } ?: UNLISTED_RETRY_AFTER

    /** Returns the number of backend servers of [service] that get new requests. */
    fun usableBackendCount(service: String): Int =
        lock.withLock { queues[service]?.usableBackendCount(nowMillis()) ?: 0 }

    /** Returns the number of requests of [service] that wait for a slot. */
    fun waitingCount(service: String): Int = lock.withLock { queues[service]?.waitingCount ?: 0 }

    /** Returns whether this host has a share of the slots. */
    fun hasShare(): Boolean =
        lock.withLock { ledger.share("", PROBED_SLOTS, nowMillis().toLong()) > 0 }

    /** Applies the platform's list of [hosts]. */
    fun updateHosts(hosts: List<ListedHost>) = lock.withLock {
        val servers = hosts.filter { it.role == HostRole.BACKEND_SERVER }.groupBy { it.service }
        servers.keys.forEach { queueOf(it) }
        for ((service, queue) in queues) updateBackends(queue, servers[service].orEmpty())
    }

    /** Applies the current membership to the slot ledger, and dispatches waiting requests. */
    fun tick() = lock.withLock {
        val now = nowMillis()
        val self = membership.self
        val others = membership.members().filter { it.host != self.host }
        // The incarnation is raised once a previous process with a later clock becomes known.
        ledger.skipRounds(self.incarnation * ROUNDS_PER_INCARNATION)
        ledger.observe(others.associate { it.host to it.state }, now.toLong())
        queues.values.forEach { queue ->
            queue.backends.forEach { closeSurplusConnections(it, now.toLong()) }
            queue.dispatch(now)
        }
    }

    /** Sets the [listener] that is called, without the lock, whenever a request has to wait. */
    fun onWaiting(listener: () -> Unit) {
        waitingListener = listener
    }

    /** Returns whether a request of any service is waiting. */
    fun isAnyWaiting(): Boolean = lock.withLock { queues.values.any { it.waitingCount > 0 } }

    /** Returns the other live entry hosts, which can be asked for slots. */
    fun livePeers(): List<String> = membership.members()
        .filter { it.state == MemberState.LIVE && it.host != membership.self.host }
        .map { it.host }

    /** Runs [action] under the lock, with the queues by service, the slot ledger and the time. */
    fun <T> withQueues(action: (Map<String, ServiceQueue>, SlotLedger, Double) -> T): T =
        lock.withLock { action(queues, ledger, nowMillis()) }

    override fun close() = lock.withLock {
        queues.values.flatMap { it.backends }.forEach { it.close() }
    }

    private fun queueOf(service: String) = queues.getOrPut(service) {
        val self = membership.self
        ServiceQueue(settings.queueLimit, ledger, random, self.availabilityZone)
    }

    private fun updateBackends(queue: ServiceQueue, hosts: List<ListedHost>) {
        val known = queue.backends.associateBy { it.name }
        val listed = hosts.map { host ->
            val kept = known[host.name]?.takeIf { it.host.address == host.address }
            (kept ?: Backend(host)).also { it.health.updateListing(host.state) }
        }
        val missing = queue.backends - listed.toSet()
        missing.forEach { it.health.updateListing(stateOfMissing(queue, missing)) }
        queue.backends = listed + missing.filter { it.slotsInUse > 0 || !isLeaving(it) }
        queue.dispatch(nowMillis())
    }

    /**
     * Returns the state to assume for servers that are [missing] from the list.
     *
     * If most servers disappear from the list at once, the list is presumed wrong, and they are
     * still treated as live.
     */
    private fun stateOfMissing(queue: ServiceQueue, missing: List<Backend>): HostState? {
        val isListSuspect =
            missing.size > MAX_TRUSTED_REMOVALS && 2 * missing.size > queue.backends.size
        return if (isListSuspect) HostState.LIVE else null
    }

    private fun isLeaving(backend: Backend) = backend.health.isLeaving(nowMillis().toLong())

    private fun recordSign(backend: Backend, sign: BackendSign, nowMillis: Long) = when (sign) {
        is BackendSign.Answered -> backend.health.recordSuccess()
        is BackendSign.Busy ->
            backend.busyUntilMillis = nowMillis + random.nextLong(MAX_BUSY_MILLIS)
        is BackendSign.Unreachable -> backend.health.recordConnectFailure(nowMillis)
        is BackendSign.Broken -> backend.health.recordFailure(nowMillis)
        is BackendSign.Nothing -> Unit
    }.also { if (sign.isDraining) backend.health.markDraining(nowMillis) }

    /**
     * Closes idle connections if there are more than this host's limit.
     *
     * A slot moves between hosts together with a connection, so the connections follow the slots.
     */
    private fun closeSurplusConnections(backend: Backend, nowMillis: Long) {
        val limit = ledger.limit(backend.name, backend.host.connections, nowMillis)
        if (backend.client.connectionCount > limit) backend.client.closeIdle()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1e6
        const val ROUNDS_PER_INCARNATION = 1_000_000L

        /** A number of slots of which every host that has a share at all gets at least one. */
        const val PROBED_SLOTS = 1_000
        const val MAX_BUSY_MILLIS = 20L
        val UNLISTED_RETRY_AFTER = 1.seconds

        /** Up to this many servers may disappear together before the list is presumed wrong. */
        const val MAX_TRUSTED_REMOVALS = 2
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
