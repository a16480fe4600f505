/** The queue and the backend servers of one service; guarded by the dispatcher's lock. */
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

internal class ServiceLane(
    queueLimit: Int,
    private val ledger: SlotLedger,
    private val random: Random,
    private val ownZone: String
) {
    private val scheduler = ServiceScheduler(SchedulerSettings(queueLimit), random)
    private val tickets = hashMapOf<Long, Ticket>()
    private val usage = UsagePeak()
    private val abandoned = AbandonedSlots()

    /** The backend servers on the list. */
    var backends: List<Backend> = emptyList()

    val waiting: Int get() = scheduler.waiting

    /** Returns how many backend servers get new work. */
    fun usableCount(nowMillis: Double) = usable(nowMillis).size

    /** Returns what [arrival] has to wait for, with its queue number unless it is refused. */
    fun arrive(arrival: Arrival, ticket: Ticket, nowMillis: Double): WaitingRequest? {
        val capacity = capacity(nowMillis)
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

    /** Returns the refusal that [arrival] would meet now, or null. */
    fun refusalOf(arrival: Arrival, nowMillis: Double): Decision.Refused? {
        val capacity = capacity(nowMillis)
        return scheduler.refuseOrNull(arrival, capacity.slots, capacity.free, nowMillis)
            ?.let { Decision.Refused(it.reason, it.retryAfter) }
    }

    /** Gives free slots to the requests whose turn it is. */
    fun dispatch(nowMillis: Double) {
        abandoned.free(nowMillis)
        while (scheduler.waiting > 0) {
            val capacity = capacity(nowMillis)
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

    /** Drops [request] from the queue, unless it has been decided about in the meantime. */
    fun giveUp(request: WaitingRequest, ticket: Ticket, nowMillis: Double) {
        if (ticket.decision != null) return
        tickets.remove(request.number)
        val retryAfter = scheduler.cancel(request, capacity(nowMillis).slots, nowMillis)
        ticket.decide(Decision.Refused("no slot came free in time", retryAfter))
    }

    /** Takes back the slot of [granted], which was held for [ranMillis]. */
    fun release(granted: Decision.Granted, completed: Boolean, nowMillis: Double) {
        val backend = granted.backend
        val request = granted.request
        val ranMillis = nowMillis - granted.atMillis
        if (completed) {
            val expected = request.expectedMillis
            backend.concurrency.recordRun(
                ranMillis,
                expected,
                poolSlowness(),
                nowMillis,
                backend.inUse
            )
        }
        backend.inUse--
        scheduler.finish(request.number, ranMillis, completed, nowMillis)
        dispatch(nowMillis)
    }

    /**
     * Ends [granted], which is given up on although its backend server may still work on it.
     *
     * The slot stays in use for a while, lest the server get more requests than it has slots.
     */
    fun abandon(granted: Decision.Granted, nowMillis: Double) {
        val ranMillis = nowMillis - granted.atMillis
        abandoned.hold(granted.backend, ranMillis, nowMillis)
        scheduler.finish(granted.request.number, ranMillis, completed = false, nowMillis)
        dispatch(nowMillis)
    }

    /** Returns the free slots that this host is not likely to need itself soon. */
    fun spare(nowMillis: Double): SlotCounts {
        if (scheduler.waiting > 0) return emptyMap()
        val usable = usable(nowMillis)
        val free = usable.associate { it.name to freeOwn(it, nowMillis) }.filterValues { it > 0 }
        var left = free.values.sum() - usage.headroom(inUse(), nowMillis)
        return free.mapValues { (_, count) ->
            minOf(count, left.coerceAtLeast(0)).also { left -= it }
        }
    }

    /** Returns the slots of borrowed ones that are in use, of all lenders together. */
    fun borrowedInUse(nowMillis: Double): SlotCounts = backends.associate { backend ->
        val own = ledger.limit(backend.name, backend.slots, nowMillis.toLong()) -
            ledger.borrowed(backend.name, nowMillis.toLong())
        backend.name to (backend.inUse - own).coerceAtLeast(0)
    }

    /** Returns the slots of each backend server. */
    fun totals(): SlotCounts = backends.associate { it.name to it.slots }

    /** Returns when the caller of a request that is refused for another reason may come back. */
    fun bookReturn(nowMillis: Double) =
        scheduler.scheduleRetry(capacity(nowMillis).slots, nowMillis)

    /** The [slots] that this host can count on before long, and those that are [free] now. */
    private class Capacity(val slots: Int, val free: Int)

    private fun capacity(nowMillis: Double): Capacity {
        var slots = 0
        var free = 0
        for (backend in usable(nowMillis)) {
            val limit = limitOf(backend, nowMillis)
            slots += maxOf(limit, shareOf(backend, nowMillis), 1)
            free += (limit - backend.inUse).coerceAtLeast(0)
        }
        usage.observe(inUse(), nowMillis)
        return Capacity(slots, free)
    }

    private fun inUse() = backends.sumOf { it.inUse }

    private fun usable(nowMillis: Double) =
        BackendHealth.usable(backends, nowMillis.toLong()) { it.health }

    private fun limitOf(backend: Backend, nowMillis: Double): Int {
        if (nowMillis < backend.busyUntilMillis) return 0
        val limit = ledger.limit(backend.name, backend.slots, nowMillis.toLong())
        return backend.concurrency.allowedSlots(limit, nowMillis)
    }

    private fun shareOf(backend: Backend, nowMillis: Double) =
        ledger.share(backend.name, backend.slots, nowMillis.toLong())

    private fun freeOwn(backend: Backend, nowMillis: Double) =
        limitOf(backend, nowMillis) - ledger.borrowed(backend.name, nowMillis.toLong()) -
            backend.inUse

    private fun grant(request: WaitingRequest, ticket: Ticket, nowMillis: Double) {
        val free = usable(nowMillis).filter { limitOf(it, nowMillis) > it.inUse }.shuffled(random)
        val chosen = free.minWith(
            compareBy<Backend> { it.name in ticket.avoid }
                .thenBy { load(it, nowMillis) }
                .thenBy { it.host.availabilityZone != ownZone }
        )
        chosen.inUse++
        ticket.decide(Decision.Granted(chosen, request, nowMillis))
    }

    /** A server's load after one more request, weighed by how slow it is. */
    private fun load(backend: Backend, nowMillis: Double): Double {
        val share = (backend.inUse + 1.0) / limitOf(backend, nowMillis).coerceAtLeast(1)
        return share * (backend.concurrency.slowness / SLOWNESS_STEP).toInt().coerceAtLeast(1)
    }

    private fun poolSlowness(): Double {
        val all = backends.map { it.concurrency.slowness }.sorted()
        return all.getOrElse((all.size - 1) / 2) { 1.0 }
    }

    private companion object {
        /** Differences in speed below this factor are taken for chance. */
        const val SLOWNESS_STEP = 2.0
    }
}

/** The recent peak of the slots in use, from which the host's own need is guessed. */
internal class UsagePeak {
    private var peak = 0.0
    private var atMillis = 0.0

    fun observe(inUse: Int, nowMillis: Double) {
        peak = maxOf(decayed(nowMillis), inUse.toDouble())
        atMillis = nowMillis
    }

    /** Returns the free slots to keep, while [inUse] are in use. */
    fun headroom(inUse: Int, nowMillis: Double): Int =
        kotlin.math.ceil(decayed(nowMillis) * HEADROOM - inUse).toInt().coerceAtLeast(0)

    private fun decayed(nowMillis: Double) =
        peak * kotlin.math.exp((atMillis - nowMillis) / DECAY_MILLIS)

    private companion object {
        const val DECAY_MILLIS = 2_000.0
        const val HEADROOM = 1.25
    }
}
