/** A discrete-event simulation of a service: random arrivals, slots and a scheduling policy. */
package sycamoremast.coordination.request

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** A simulated request; the policy knows the declared run time but not the actual one. */
internal data class SimulatedRequest(
    val number: Int,
    val key: RunTimeKey,
    val declaredMillis: Double,
    val runMillis: Double,
    val arrivedMillis: Double,
    val deadlineMillis: Double
)

/** A scheduling policy. */
internal interface SimulatedPolicy {
    /** Returns the retry delay in milliseconds if the request is refused, or null if it waits. */
    fun arrive(request: SimulatedRequest, free: Int, nowMillis: Double): Double?

    /** Returns the next request to run, or null if there is none. */
    fun next(nowMillis: Double): SimulatedRequest?

    fun finished(request: SimulatedRequest, nowMillis: Double)
}

/** A first-in, first-out policy with an unbounded queue. */
internal class FifoPolicy : SimulatedPolicy {
    private val queue = ArrayDeque<SimulatedRequest>()

    override fun arrive(request: SimulatedRequest, free: Int, nowMillis: Double): Double? {
        queue.addLast(request)
        return null
    }

    override fun next(nowMillis: Double) = queue.removeFirstOrNull()

    override fun finished(request: SimulatedRequest, nowMillis: Double) = Unit
}

/** The policy of the [ServiceScheduler] under test. */
internal class ScheduledPolicy(
    private val slots: Int,
    seed: Int,
    settings: SchedulerSettings = SchedulerSettings(queueLimit = 100_000)
) : SimulatedPolicy {
    private val scheduler = ServiceScheduler(settings, Random(seed))
    private val waiting = hashMapOf<Long, SimulatedRequest>()
    private val numbersById = hashMapOf<Int, Long>()
    private val startedMillisById = hashMapOf<Int, Double>()

    override fun arrive(request: SimulatedRequest, free: Int, nowMillis: Double): Double? {
        val remaining = request.deadlineMillis - nowMillis
        val arrival = Arrival(request.key, request.declaredMillis, remaining)
        return when (val admission = scheduler.admit(arrival, slots, free, nowMillis)) {
            is Admission.Admitted -> null.also {
                waiting[admission.request.number] = request
            }

            is Admission.Refused -> admission.retryAfter.inWholeMilliseconds.toDouble()
        }
    }

    override fun next(nowMillis: Double): SimulatedRequest? {
        while (true) {
            val next = scheduler.pollNext(slots, nowMillis) ?: return null
            val request = waiting.remove(next.request.number)!!
            if (next is DispatchDecision.Late) continue
            numbersById[request.number] = next.request.number
            startedMillisById[request.number] = nowMillis
            return request
        }
    }

    override fun finished(request: SimulatedRequest, nowMillis: Double) {
        val ran = nowMillis - startedMillisById.remove(request.number)!!
        scheduler.finish(numbersById.remove(request.number)!!, ran, true, nowMillis)
    }
}

/** A simulated request that completed. */
internal data class CompletedRequest(
    val request: SimulatedRequest,
    val startedMillis: Double,
    val endedMillis: Double
) {
    val waitMillis get() = startedMillis - request.arrivedMillis
    val metDeadline get() = endedMillis <= request.deadlineMillis
}

/** A request of [key] that was refused. */
internal data class Refusal(val key: RunTimeKey, val atMillis: Double)

/** The result of a simulation; a request that is retried can be refused several times and run. */
internal data class SimulationResult(val ran: List<CompletedRequest>, val refusals: List<Refusal>)

/** Runs [requests] on [slots]; refused callers retry up to [maxRetries] times. */
internal fun simulate(
    slots: Int,
    requests: List<SimulatedRequest>,
    policy: SimulatedPolicy,
    maxRetries: Int = 0
): SimulationResult = Simulation(slots, policy, maxRetries).run(requests)

private class Simulation(slots: Int, val policy: SimulatedPolicy, val maxRetries: Int) {
    private class Event(val atMillis: Double, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.order })
    private var order = 0L
    private var free = slots
    private var now = 0.0
    private val ran = mutableListOf<CompletedRequest>()
    private val refusals = mutableListOf<Refusal>()

    fun run(requests: List<SimulatedRequest>): SimulationResult {
        requests.forEach { at(it.arrivedMillis) { arrive(it, maxRetries) } }
        while (true) {
            val event = events.poll() ?: return SimulationResult(ran, refusals)
            now = event.atMillis
            event.action()
        }
    }

    private fun at(millis: Double, action: () -> Unit) {
        events += Event(millis, order++, action)
    }

    private fun arrive(request: SimulatedRequest, retriesLeft: Int) {
        val timeoutMillis = request.deadlineMillis - request.arrivedMillis
        val retryDelay = policy.arrive(request, free, now)
        if (retryDelay != null) {
            refusals += Refusal(request.key, now)
            if (retriesLeft >
                0
            ) {
                at(now + retryDelay) { arrive(retryOf(request, timeoutMillis), retriesLeft - 1) }
            }
        }
        dispatch()
    }

    private fun retryOf(request: SimulatedRequest, timeoutMillis: Double) =
        request.copy(arrivedMillis = now, deadlineMillis = now + timeoutMillis)

    private fun dispatch() {
        while (free > 0) {
            val next = policy.next(now) ?: return
            free--
            val startedMillis = now
            at(now + next.runMillis) {
                free++
                ran += CompletedRequest(next, startedMillis, now)
                policy.finished(next, now)
                dispatch()
            }
        }
    }
}

/** Returns Poisson arrivals of one kind of request within [spanMillis]. */
internal fun arrivals(
    random: Random,
    key: RunTimeKey,
    perSecond: Double,
    spanMillis: ClosedRange<Double>,
    runMillis: (Random) -> Double,
    declaredMillis: Double,
    timeoutMillis: Double = 60_000.0
): List<SimulatedRequest> {
    val requests = mutableListOf<SimulatedRequest>()
    var at = spanMillis.start
    while (true) {
        at += -ln(1 - random.nextDouble()) / perSecond * 1_000
        if (at >= spanMillis.endInclusive) return requests
        val run = runMillis(random)
        requests += SimulatedRequest(0, key, declaredMillis, run, at, at + timeoutMillis)
    }
}

/** Returns the requests of all [parts], numbered consecutively. */
internal fun workload(vararg parts: List<SimulatedRequest>) =
    parts.toList().flatten().mapIndexed { number, request -> request.copy(number = number) }

/** Returns the percentile at [share], which is a fraction of 1. */
internal fun List<Double>.percentile(share: Double): Double = sorted()[((size - 1) * share).toInt()]
