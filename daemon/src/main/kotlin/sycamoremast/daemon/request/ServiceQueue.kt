/** The queue and the backend servers of one service. */
package sycamoremast.daemon.request

import kotlin.random.Random
import sycamoremast.coordination.request.Admission
import sycamoremast.coordination.request.Arrival
import sycamoremast.coordination.request.BackendHealth
import sycamoremast.coordination.request.DispatchDecision
import sycamoremast.coordination.request.SchedulerSettings
import sycamoremast.coordination.request.ServiceScheduler
import sycamoremast.coordination.request.SlotCounts
import sycamoremast.coordination.request.SlotLedger
import sycamoremast.coordination.request.WaitingRequest

/**
 * Queues the requests of one service and assigns them slots of its backend servers.
 *
 * Guarded by the dispatcher's lock.
 */
internal class ServiceQueue(
    queueLimit: Int,
    private val ledger: SlotLedger,
    private val random: Random,
    private val ownZone: String
) {
    private val scheduler = ServiceScheduler(SchedulerSettings(queueLimit), random)
    private val tickets = hashMapOf<Long, Ticket>()
    private val peakUsage = DecayingPeak()
    private val abandoned = AbandonedSlots()

    /** The backend servers on the host list, and removed ones that are still in use. */
    var backends: List<Backend> = emptyList()

    /** The number of requests that wait for a slot. */
    val waitingCount: Int get() = scheduler.waiting

    /** Returns the number of backend servers that get new requests. */
    fun usableBackendCount(nowMillis: Double) = usable(nowMillis).size

    /**
     * Admits [arrival] to the queue and dispatches waiting requests, or refuses it.
     *
     * Returns the queued request, or null if it is refused; [ticket] gets the decision.
     */
    fun offer(arrival: Arrival, ticket: Ticket, nowMillis: Double): WaitingRequest? {
        val capacity = measureCapacity(nowMillis)
        return when (
            val admission = scheduler.admit(arrival, capacity.slots, capacity.free, nowMillis)
        ) {
            is Admission.Refused -> {
                ticket.decide(Decision.Refused(admission.reason, admission.retryAfter))
                null
            }

            is Admission.Admitted -> {
                tickets[admission.request.number] = ticket
                dispatch(nowMillis)
                admission.request
            }
        }
    }

    /** Returns the refusal that [arrival] would get now, or null if it would be admitted. */
    fun refusalOf(arrival: Arrival, nowMillis: Double): Decision.Refused? {
        val capacity = measureCapacity(nowMillis)
        return scheduler.refuseOrNull(arrival, capacity.slots, capacity.free, nowMillis)
            ?.let { Decision.Refused(it.reason, it.retryAfter) }
    }

    /** Assigns free slots to waiting requests in the order that the scheduler decides. */
    fun dispatch(nowMillis: Double) {
        abandoned.releaseExpired(nowMillis)
        while (scheduler.waiting > 0) {
            val capacity = measureCapacity(nowMillis)
            if (capacity.free == 0) return
            val next = scheduler.pollNext(capacity.slots, nowMillis) ?: return
            val ticket = checkNotNull(tickets.remove(next.request.number))
            when (next) {
                is DispatchDecision.Late ->
                    ticket.decide(Decision.Refused("the deadline would be missed", next.retryAfter))

                is DispatchDecision.Run -> grant(next.request, ticket, nowMillis)
            }
        }
    }

    /** Removes [request] from the queue and refuses it, unless [ticket] has a decision already. */
    fun expire(request: WaitingRequest, ticket: Ticket, nowMillis: Double) {
        if (ticket.decision != null) return
        tickets.remove(request.number)
        val retryAfter = scheduler.cancel(request, measureCapacity(nowMillis).slots, nowMillis)
        ticket.decide(Decision.Refused("no slot came free in time", retryAfter))
    }

    /** Releases the slot of [granted], whose request [completed] or failed. */
    fun release(granted: Decision.Granted, completed: Boolean, nowMillis: Double) {
        val backend = granted.backend
        val request = granted.request
        val ranMillis = nowMillis - granted.atMillis
        if (completed) {
            val expected = request.expectedMillis
            backend.concurrency.recordRun(
                ranMillis,
                expected,
                medianSlowness(),
                nowMillis,
                backend.slotsInUse
            )
        }
        backend.slotsInUse--
        scheduler.finish(request.number, ranMillis, completed, nowMillis)
        dispatch(nowMillis)
    }

    /**
     * Ends the request of [granted], although its backend server may still be running it.
     *
     * The slot stays occupied for a while, so that the server does not get more requests than it
     * has slots.
     */
    fun abandon(granted: Decision.Granted, nowMillis: Double) {
        val ranMillis = nowMillis - granted.atMillis
        abandoned.hold(granted.backend, ranMillis, nowMillis)
        scheduler.finish(granted.request.number, ranMillis, completed = false, nowMillis)
        dispatch(nowMillis)
    }

    /** Returns the free slots that this host will probably not need soon. */
    fun spareSlots(nowMillis: Double): SlotCounts {
        if (scheduler.waiting > 0) return emptyMap()
        val usable = usable(nowMillis)
        val free = usable.associate { it.name to freeOwnSlots(it, nowMillis) }
            .filterValues { it > 0 }
        var remaining = free.values.sum() - peakUsage.headroom(totalSlotsInUse(), nowMillis)
        return free.mapValues { (_, count) ->
            minOf(count, remaining.coerceAtLeast(0)).also { remaining -= it }
        }
    }

    /** Returns how many borrowed slots of each backend server are in use, over all lenders. */
    fun borrowedInUse(nowMillis: Double): SlotCounts = backends.associate { backend ->
        val own = ledger.limit(backend.name, backend.slots, nowMillis.toLong()) -
            ledger.borrowed(backend.name, nowMillis.toLong())
        backend.name to (backend.slotsInUse - own).coerceAtLeast(0)
    }

    /** Returns the total number of slots of each backend server. */
    fun totalSlots(): SlotCounts = backends.associate { it.name to it.slots }

    /** Reserves a time for the retry of a failed request, and returns the delay until then. */
    fun reserveRetry(nowMillis: Double) =
        scheduler.scheduleRetry(measureCapacity(nowMillis).slots, nowMillis)

    /** The [slots] that this host can expect to use soon, and those that are [free] now. */
    private class Capacity(val slots: Int, val free: Int)

    /** Returns the present capacity, and updates the usage peak. */
    private fun measureCapacity(nowMillis: Double): Capacity {
        var slots = 0
        var free = 0
        for (backend in usable(nowMillis)) {
            val limit = limitOf(backend, nowMillis)
            slots += maxOf(limit, shareOf(backend, nowMillis), 1)
            free += (limit - backend.slotsInUse).coerceAtLeast(0)
        }
        peakUsage.observe(totalSlotsInUse(), nowMillis)
        return Capacity(slots, free)
    }

    private fun totalSlotsInUse() = backends.sumOf { it.slotsInUse }

    private fun usable(nowMillis: Double) =
        BackendHealth.usable(backends, nowMillis.toLong()) { it.health }

    private fun limitOf(backend: Backend, nowMillis: Double): Int {
        if (nowMillis < backend.busyUntilMillis) return 0
        val limit = ledger.limit(backend.name, backend.slots, nowMillis.toLong())
        return backend.concurrency.allowedSlots(limit, nowMillis)
    }

    private fun shareOf(backend: Backend, nowMillis: Double) =
        ledger.share(backend.name, backend.slots, nowMillis.toLong())

    private fun freeOwnSlots(backend: Backend, nowMillis: Double) =
        limitOf(backend, nowMillis) - ledger.borrowed(backend.name, nowMillis.toLong()) -
            backend.slotsInUse

    private fun grant(request: WaitingRequest, ticket: Ticket, nowMillis: Double) {
        val free = usable(nowMillis).filter { limitOf(it, nowMillis) > it.slotsInUse }
            .shuffled(random)
        val chosen = free.minWith(
            compareBy<Backend> { it.name in ticket.avoid }
                .thenBy { load(it, nowMillis) }
                .thenBy { it.host.availabilityZone != ownZone }
        )
        chosen.slotsInUse++
        ticket.decide(Decision.Granted(chosen, request, nowMillis))
    }

    /** Returns the load of a server with one more request, weighted by its slowness. */
    private fun load(backend: Backend, nowMillis: Double): Double {
        val share = (backend.slotsInUse + 1.0) / limitOf(backend, nowMillis).coerceAtLeast(1)
        return share * (backend.concurrency.slowness / SLOWNESS_STEP).toInt().coerceAtLeast(1)
    }

    private fun medianSlowness(): Double {
        val all = backends.map { it.concurrency.slowness }.sorted()
        return all.getOrElse((all.size - 1) / 2) { 1.0 }
    }

    private companion object {
        /** Differences in speed below this factor are considered noise. */
        const val SLOWNESS_STEP = 2.0
    }
}

/** The exponentially decaying peak of the slots in use, by which this host's need is estimated. */
internal class DecayingPeak {
    private var peak = 0.0
    private var atMillis = 0.0

    fun observe(inUse: Int, nowMillis: Double) {
        peak = maxOf(decayed(nowMillis), inUse.toDouble())
        atMillis = nowMillis
    }

    /** Returns the number of free slots to keep while [inUse] are in use. */
    fun headroom(inUse: Int, nowMillis: Double): Int =
        kotlin.math.ceil(decayed(nowMillis) * HEADROOM - inUse).toInt().coerceAtLeast(0)

    private fun decayed(nowMillis: Double) =
        peak * kotlin.math.exp((atMillis - nowMillis) / DECAY_MILLIS)

    private companion object {
        const val DECAY_MILLIS = 2_000.0
        const val HEADROOM = 1.25
    }
}
