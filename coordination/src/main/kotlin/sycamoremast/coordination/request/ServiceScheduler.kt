/**
 * Admission control and scheduling of the requests of one service.
 *
 * The scheduler does no I/O and reads no clock; the caller passes the time and the number of slots.
 * The caller owns the slots and polls for the next request whenever one is free.
 */
package sycamoremast.coordination.request

import kotlin.random.Random
import kotlin.time.Duration

/**
 * The settings of a [ServiceScheduler].
 *
 * At most [queueLimit] requests may wait. The limit on the expected queueing delay of a request is
 * proportional to its run time, and lies between [minDelayLimitMillis] and [maxDelayLimitMillis].
 */
data class SchedulerSettings(
    val queueLimit: Int = 1_000,
    val runTimeWeight: Double = RequestQueue.DEFAULT_RUN_TIME_WEIGHT,
    val minDelayLimitMillis: Double = 1_000.0,
    val maxDelayLimitMillis: Double = 10_000.0
)

/** A new request with its declared run time and the time that remains until its deadline. */
data class Arrival(val key: RunTimeKey, val declaredMillis: Double, val remainingMillis: Double)

/** The result of admission control. */
sealed interface Admission {
    /** The request is queued as [request]. */
    data class Admitted(val request: WaitingRequest) : Admission

    /** The request is not queued; its caller may retry after [retryAfter]. */
    data class Refused(val reason: String, val retryAfter: Duration) : Admission
}

/** The decision on the request that is next in the queue. */
sealed interface DispatchDecision {
    val request: WaitingRequest

    /** The request gets a slot. */
    data class Run(override val request: WaitingRequest) : DispatchDecision

    /** The request would miss its deadline; its caller may retry after [retryAfter]. */
    data class Late(override val request: WaitingRequest, val retryAfter: Duration) :
        DispatchDecision
}

/** Schedules the requests of one service; not safe for use by several threads at once. */
class ServiceScheduler(
    private val settings: SchedulerSettings = SchedulerSettings(),
    random: Random = Random.Default
) {
    private val estimator = RunTimeEstimator()
    private val queue = RequestQueue(settings.runTimeWeight)
    private val longLimit = LongRequestLimit()
    private val retrySchedule = RetryAfterSchedule(random)
    private val arrivals = hashMapOf<Long, Arrival>()
    private val running = RunningRequests()
    private var lastNumber = 0L
    private var latestSlots = 0

    /** The number of long requests that hold a slot. */
    val longRunning: Int get() = running.longCount

    /** The number of waiting requests. */
    val waiting: Int get() = queue.size

    /** Queues [arrival] for one of [slots], of which [free] are free, or refuses it. */
    fun admit(arrival: Arrival, slots: Int, free: Int, nowMillis: Double): Admission {
        retrySchedule.recordArrival(nowMillis)
        latestSlots = slots
        refuseOrNull(arrival, slots, free, nowMillis)?.let { return it }
        return Admission.Admitted(enqueue(arrival, nowMillis))
    }

    /**
     * Returns a refusal of [arrival], or null if it may be queued.
     *
     * A refusal takes a place in the retry schedule; an admissible request is not queued here.
     */
    fun refuseOrNull(
        arrival: Arrival,
        slots: Int,
        free: Int,
        nowMillis: Double
    ): Admission.Refused? {
        val refusal = when {
            slots <= 0 -> "no slot of any backend server is usable"
            queue.size >= settings.queueLimit -> "the queue is full"
            else -> overloadReason(arrival, slots, free, nowMillis)
        }
        return refusal?.let { refuse(it, slots, nowMillis) }
    }

    /** Removes and returns the next request, or null if none may take one of [slots] now. */
    fun pollNext(slots: Int, nowMillis: Double): DispatchDecision? {
        updateOverdue(nowMillis)
        while (true) {
            val isLongAllowed = longRunning < longLimit.maxLongSlots(slots, nowMillis)
            val polled = poll(isLongAllowed, slots) ?: return null
            if (wouldMissDeadline(polled, nowMillis)) {
                arrivals.remove(polled.number)
                return DispatchDecision.Late(polled, scheduleRetry(slots, nowMillis))
            }
            val next = withCurrentEstimate(polled, nowMillis)
            if (next.isLong == polled.isLong || isLongAllowed) {
                running.add(next, nowMillis)
                return DispatchDecision.Run(next)
            }
            // The request is long by the current estimate, and no more long ones may run now.
            queue.requeue(polled, next)
        }
    }

    /**
     * Records that the request [number] has released its slot after [ranMillis].
     *
     * If the request was not [completed], [ranMillis] is only a lower bound of its run time.
     */
    fun finish(number: Long, ranMillis: Double, completed: Boolean, nowMillis: Double) {
        val request = running.remove(number) ?: return
        val key = arrivals.remove(number)?.key ?: return
        queue.correctCharge(request, ranMillis)
        recordShortDemand(nowMillis)
        if (completed) {
            estimator.recordRun(key, ranMillis)
            retrySchedule.recordCompletion(nowMillis)
        } else {
            estimator.recordLowerBound(key, ranMillis)
        }
    }

    /** Removes the waiting [request] and returns the delay after which its caller may retry. */
    fun cancel(request: WaitingRequest, slots: Int, nowMillis: Double): Duration {
        queue.remove(request.number)
        arrivals.remove(request.number)
        return scheduleRetry(slots, nowMillis)
    }

    /** Returns the delay after which the caller of a request refused elsewhere may retry. */
    fun scheduleRetry(slots: Int, nowMillis: Double): Duration =
        retrySchedule.scheduleRetry(nowMillis, queue.totalExpectedMillis / slots.coerceAtLeast(1))

    /** Returns the estimated run time of [arrival]. */
    fun estimate(arrival: Arrival): RunTime =
        estimator.estimate(arrival.key, arrival.declaredMillis)

    /** Returns why the expected wait of [arrival] is too long, or null if it is not. */
    private fun overloadReason(
        arrival: Arrival,
        slots: Int,
        free: Int,
        nowMillis: Double
    ): String? {
        if (queue.size == 0 && free > 0) return null
        val runTime = estimate(arrival)
        val isLong = longLimit.recordAndCheckLong(arrival.key, runTime.medianMillis, nowMillis)
        val wait = expectedWait(arrival.key.team, isLong, slots, nowMillis)
        val delayLimit = (DELAY_FACTOR * runTime.medianMillis)
            .coerceIn(settings.minDelayLimitMillis, settings.maxDelayLimitMillis)
            .coerceAtMost(arrival.remainingMillis * MAX_WAIT_SHARE)
        return when {
            wait + runTime.p90Millis > arrival.remainingMillis -> "the deadline would be missed"
            wait > delayLimit -> "the queue is too long"
            else -> null
        }
    }

    /** Returns the wait of a new request of [team] in milliseconds, if it were queued now. */
    private fun expectedWait(team: String, isLong: Boolean, slots: Int, nowMillis: Double): Double {
        if (!isLong) return queue.millisAhead(team, LengthFilter.SHORT) / slots
        val maxSlots = longLimit.expectedMaxLongSlots(slots, nowMillis)
        val waitInTurn = queue.millisAhead(team, LengthFilter.BOTH) / maxSlots
        val guaranteedSlots = longLimit.guaranteedLongSlots(slots)
        if (guaranteedSlots == 0) return waitInTurn
        return minOf(waitInTurn, queue.millisAhead(team, LengthFilter.LONG) / guaranteedSlots)
    }

    private fun enqueue(arrival: Arrival, nowMillis: Double): WaitingRequest {
        val runTime = estimate(arrival)
        val request = WaitingRequest(
            number = ++lastNumber,
            team = arrival.key.team,
            expectedMillis = runTime.medianMillis,
            p90Millis = runTime.p90Millis,
            isLong = longLimit.recordAndCheckLong(arrival.key, runTime.medianMillis, nowMillis),
            arrivedMillis = nowMillis,
            deadlineMillis = nowMillis + arrival.remainingMillis
        )
        arrivals[request.number] = arrival
        queue.offer(request)
        recordShortDemand(nowMillis)
        return request
    }

    private fun refuse(reason: String, slots: Int, nowMillis: Double): Admission.Refused {
        if (queue.size == 0) retrySchedule.reset(nowMillis)
        return Admission.Refused(reason, scheduleRetry(slots, nowMillis))
    }

    /**
     * Removes and returns the next request.
     *
     * While long requests hold fewer slots than guaranteed, they go first, so that an overload of
     * short requests does not starve them.
     */
    private fun poll(isLongAllowed: Boolean, slots: Int): WaitingRequest? {
        val first = if (longRunning < longLimit.guaranteedLongSlots(slots)) {
            queue.poll(LengthFilter.LONG)
        } else {
            null
        }
        return first ?: queue.poll(if (isLongAllowed) LengthFilter.BOTH else LengthFilter.SHORT)
    }

    private fun recordShortDemand(nowMillis: Double) =
        longLimit.recordShortDemand(running.shortCount + queue.shortSize, latestSlots, nowMillis)

    /**
     * Returns whether [request] is expected to miss its deadline.
     *
     * While other requests wait, the 90th percentile of its run time counts, so that no slot is
     * spent on a request that may well miss its deadline.
     */
    private fun wouldMissDeadline(request: WaitingRequest, nowMillis: Double): Boolean {
        val needed = if (queue.size > 0) request.p90Millis else request.expectedMillis
        return request.arrivedMillis < nowMillis && nowMillis + needed > request.deadlineMillis
    }

    /** Returns [request] with the current run time estimate, and classified by it again. */
    private fun withCurrentEstimate(request: WaitingRequest, nowMillis: Double): WaitingRequest {
        val arrival = arrivals.getValue(request.number)
        val runTime = estimate(arrival)
        return request.copy(
            expectedMillis = runTime.medianMillis,
            p90Millis = runTime.p90Millis,
            isLong = longLimit.recordAndCheckLong(arrival.key, runTime.medianMillis, nowMillis)
        )
    }

    /** Updates the estimates by requests that are running for longer than expected. */
    private fun updateOverdue(nowMillis: Double) =
        running.updateOverdue(nowMillis) { request, millis ->
            val key = arrivals.getValue(request.number).key
            estimator.recordLowerBound(key, millis)
            withCurrentEstimate(request, nowMillis)
        }

    private companion object {
        /** The limit on the queueing delay, as a multiple of the expected run time. */
        const val DELAY_FACTOR = 20.0

        /** The limit on the queueing delay, as a share of the time left until the deadline. */
        const val MAX_WAIT_SHARE = 0.5
    }
}
