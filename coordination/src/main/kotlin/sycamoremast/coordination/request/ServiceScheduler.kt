/**
 * Decides which requests of one service wait, which run next and which are refused at once.
 *
 * All decisions are made from what is passed in, the time included. The caller holds the slots; it
 * asks for the next request whenever one is free.
 */
package sycamoremast.coordination.request

import kotlin.random.Random
import kotlin.time.Duration

/** Bounds of a [ServiceScheduler]; [queueLimit] is the most requests that may wait. */
data class SchedulerSettings(
    val queueLimit: Int = 1_000,
    val ageing: Double = RequestQueue.DEFAULT_AGEING,
    val minDelayLimitMillis: Double = 1_000.0,
    val maxDelayLimitMillis: Double = 10_000.0
)

/** A request as it arrives; [declaredMillis] is what was declared of its run time. */
data class Arrival(val key: RunTimeKey, val declaredMillis: Double, val remainingMillis: Double)

/** Whether a request may wait. */
sealed interface Admission {
    /** The request waits, known as [request]. */
    data class Admitted(val request: WaitingRequest) : Admission

    /** The request is refused at once; its caller may come back after [retryAfter]. */
    data class Refused(val reason: String, val retryAfter: Duration) : Admission
}

/** What to do with the next request. */
sealed interface Next {
    val request: WaitingRequest

    /** The request takes a slot. */
    data class Run(override val request: WaitingRequest) : Next

    /** The request would miss its deadline and is refused; [retryAfter] as with a refusal. */
    data class Late(override val request: WaitingRequest, val retryAfter: Duration) : Next
}

/** Schedules the requests of one service; not safe for use by several threads at once. */
class ServiceScheduler(
    private val settings: SchedulerSettings = SchedulerSettings(),
    random: Random = Random.Default
) {
    private val estimator = RunTimeEstimator()
    private val queue = RequestQueue(settings.ageing)
    private val bound = LongWorkBound()
    private val returns = ReturnSchedule(random)
    private val arrivals = hashMapOf<Long, Arrival>()
    private val running = RunningRequests()
    private var lastNumber = 0L
    private var lastSlots = 0

    /** Long requests that hold a slot. */
    val longRunning: Int get() = running.longCount

    /** Requests that wait. */
    val waiting: Int get() = queue.size

    /** Returns whether [arrival] may wait for one of [slots], of which [free] are free. */
    fun arrive(arrival: Arrival, slots: Int, free: Int, nowMillis: Double): Admission {
        returns.arrived(nowMillis)
        lastSlots = slots
        refusalOf(arrival, slots, free, nowMillis)?.let { return it }
        return Admission.Admitted(enqueue(arrival, nowMillis))
    }

    /** Returns the refusal that [arrival] would meet now, or null if it may wait. */
    fun refusalOf(arrival: Arrival, slots: Int, free: Int, nowMillis: Double): Admission.Refused? {
        val refusal = when {
            slots <= 0 -> "no slot of any backend server is usable"
            queue.size >= settings.queueLimit -> "the queue is full"
            else -> lateness(arrival, slots, free, nowMillis)
        }
        return refusal?.let { refuse(it, slots, nowMillis) }
    }

    /** Returns the next request to run, or null if none may take one of [slots] now. */
    fun next(slots: Int, nowMillis: Double): Next? {
        learnFromRunning(nowMillis)
        while (true) {
            val longAllowed = longRunning < bound.longLimit(slots, nowMillis)
            val polled = poll(longAllowed, slots) ?: return null
            if (isLate(polled, nowMillis)) {
                arrivals.remove(polled.number)
                return Next.Late(polled, bookReturn(slots, nowMillis))
            }
            val next = reconsidered(polled, nowMillis)
            if (next.isLong == polled.isLong || longAllowed) {
                running.add(next, nowMillis)
                return Next.Run(next)
            }
            queue.putBack(polled, next)
        }
    }

    /**
     * Takes into account that the request [number] held a slot for [ranMillis].
     *
     * A request that was not [completed] tells only that it would have taken longer.
     */
    fun finished(number: Long, ranMillis: Double, completed: Boolean, nowMillis: Double) {
        val request = running.remove(number) ?: return
        val key = arrivals.remove(number)?.key ?: return
        queue.ran(request, ranMillis)
        observeDemand(nowMillis)
        if (completed) {
            estimator.ran(key, ranMillis)
            returns.completed(nowMillis)
        } else {
            estimator.ranAtLeast(key, ranMillis)
        }
    }

    /** Drops [request], which waited in vain; returns when its caller may come back. */
    fun giveUp(request: WaitingRequest, slots: Int, nowMillis: Double): Duration {
        queue.remove(request.number)
        arrivals.remove(request.number)
        return bookReturn(slots, nowMillis)
    }

    /** Returns when a caller may come back whose request is refused for another reason. */
    fun bookReturn(slots: Int, nowMillis: Double): Duration =
        returns.book(nowMillis, queue.expectedMillis / slots.coerceAtLeast(1))

    /** Returns the estimated run time of requests like [arrival]. */
    fun estimate(arrival: Arrival): RunTime =
        estimator.estimate(arrival.key, arrival.declaredMillis)

    private fun lateness(arrival: Arrival, slots: Int, free: Int, nowMillis: Double): String? {
        if (queue.size == 0 && free > 0) return null
        val runTime = estimate(arrival)
        val isLong = bound.isLong(arrival.key, runTime.medianMillis, nowMillis)
        val wait = expectedWait(arrival.key.team, isLong, slots, nowMillis)
        val delayLimit = (DELAY_FACTOR * runTime.medianMillis)
            .coerceIn(settings.minDelayLimitMillis, settings.maxDelayLimitMillis)
            .coerceAtMost(arrival.remainingMillis * MAX_WAIT_SHARE)
        return when {
            wait + runTime.highMillis > arrival.remainingMillis -> "the deadline would be missed"
            wait > delayLimit -> "the queue is too long"
            else -> null
        }
    }

    private fun expectedWait(team: String, isLong: Boolean, slots: Int, nowMillis: Double): Double {
        if (!isLong) return queue.millisAhead(team, Lanes.SHORT) / slots
        val limit = bound.expectedLongLimit(slots, nowMillis)
        val inTurn = queue.millisAhead(team, Lanes.BOTH) / limit
        val floor = bound.longFloor(slots)
        if (floor == 0) return inTurn
        return minOf(inTurn, queue.millisAhead(team, Lanes.LONG) / floor)
    }

    private fun enqueue(arrival: Arrival, nowMillis: Double): WaitingRequest {
        val runTime = estimate(arrival)
        val request = WaitingRequest(
            number = ++lastNumber,
            team = arrival.key.team,
            expectedMillis = runTime.medianMillis,
            highMillis = runTime.highMillis,
            isLong = bound.isLong(arrival.key, runTime.medianMillis, nowMillis),
            arrivedMillis = nowMillis,
            deadlineMillis = nowMillis + arrival.remainingMillis
        )
        arrivals[request.number] = arrival
        queue.offer(request)
        observeDemand(nowMillis)
        return request
    }

    private fun refuse(reason: String, slots: Int, nowMillis: Double): Admission.Refused {
        if (queue.size == 0) returns.recovered(nowMillis)
        return Admission.Refused(reason, bookReturn(slots, nowMillis))
    }

    /** Long work below its floor goes first, lest short work beyond the capacity starve it. */
    private fun poll(longAllowed: Boolean, slots: Int): WaitingRequest? {
        val first = if (longRunning < bound.longFloor(slots)) queue.poll(Lanes.LONG) else null
        return first ?: queue.poll(if (longAllowed) Lanes.BOTH else Lanes.SHORT)
    }

    private fun observeDemand(nowMillis: Double) =
        bound.shortDemand(running.shortCount + queue.shortSize, lastSlots, nowMillis)

    /** While others wait, a slot is not spent on a request that may well miss its deadline. */
    private fun isLate(request: WaitingRequest, nowMillis: Double): Boolean {
        val needed = if (queue.size > 0) request.highMillis else request.expectedMillis
        return request.arrivedMillis < nowMillis && nowMillis + needed > request.deadlineMillis
    }

    /** Returns [request] with what has been learned of its kind since it was queued. */
    private fun reconsidered(request: WaitingRequest, nowMillis: Double): WaitingRequest {
        val arrival = arrivals.getValue(request.number)
        val runTime = estimate(arrival)
        return request.copy(
            expectedMillis = runTime.medianMillis,
            highMillis = runTime.highMillis,
            isLong = bound.isLong(arrival.key, runTime.medianMillis, nowMillis)
        )
    }

    /** Learns from requests that run for longer than expected before they have ended. */
    private fun learnFromRunning(nowMillis: Double) =
        running.overdue(nowMillis) { request, millis ->
            val key = arrivals.getValue(request.number).key
            estimator.ranAtLeast(key, millis)
            reconsidered(request, nowMillis)
        }

    private companion object {
        /** The queue delay that is allowed, as a multiple of the expected run time. */
        const val DELAY_FACTOR = 20.0

        /** The share of the time to its deadline that a request may be expected to wait. */
        const val MAX_WAIT_SHARE = 0.5
    }
}
