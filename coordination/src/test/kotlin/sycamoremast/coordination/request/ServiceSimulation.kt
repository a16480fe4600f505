/** A service in virtual time: seeded arrivals, slots, and a policy that picks the next request. */
package sycamoremast.coordination.request

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** A request of the simulation; the policy is told only what was declared. */
internal data class SimulatedRequest(
    val number: Int,
    val key: RunTimeKey,
    val declaredMillis: Double,
    val runMillis: Double,
    val arrivesMillis: Double,
    val deadlineMillis: Double
)

/** Picks what runs next. */
internal interface SimulatedPolicy {
    /** Returns when to come back if the request is refused, or null if it waits. */
    fun arrive(request: SimulatedRequest, free: Int, nowMillis: Double): Double?

    /** Returns the next request that takes a slot, or null. */
    fun next(nowMillis: Double): SimulatedRequest?

    fun finished(request: SimulatedRequest, nowMillis: Double)
}

/** First come, first served, with a queue that is never full. */
internal class FifoPolicy : SimulatedPolicy {
    private val queue = ArrayDeque<SimulatedRequest>()

    override fun arrive(request: SimulatedRequest, free: Int, nowMillis: Double): Double? {
        queue.addLast(request)
        return null
    }

    override fun next(nowMillis: Double) = queue.removeFirstOrNull()

    override fun finished(request: SimulatedRequest, nowMillis: Double) = Unit
}

/** The scheduler under test. */
internal class ScheduledPolicy(
    private val slots: Int,
    seed: Int,
    settings: SchedulerSettings = SchedulerSettings(queueLimit = 100_000)
) : SimulatedPolicy {
    private val scheduler = ServiceScheduler(settings, Random(seed))
    private val waiting = hashMapOf<Long, SimulatedRequest>()
    private val running = hashMapOf<Int, Long>()
    private val started = hashMapOf<Int, Double>()

    override fun arrive(request: SimulatedRequest, free: Int, nowMillis: Double): Double? {
        val remaining = request.deadlineMillis - nowMillis
        val arrival = Arrival(request.key, request.declaredMillis, remaining)
        return when (val admission = scheduler.arrive(arrival, slots, free, nowMillis)) {
            is Admission.Admitted -> null.also { waiting[admission.request.number] = request }
            is Admission.Refused -> admission.retryAfter.inWholeMilliseconds.toDouble()
        }
    }

    override fun next(nowMillis: Double): SimulatedRequest? {
        while (true) {
            val next = scheduler.next(slots, nowMillis) ?: return null
            val request = waiting.remove(next.request.number)!!
            if (next is Next.Late) continue
            running[request.number] = next.request.number
            started[request.number] = nowMillis
            return request
        }
    }

    override fun finished(request: SimulatedRequest, nowMillis: Double) {
        val ran = nowMillis - started.remove(request.number)!!
        scheduler.finished(running.remove(request.number)!!, ran, true, nowMillis)
    }
}

/** What became of a simulated request that ran. */
internal data class Ran(
    val request: SimulatedRequest,
    val startedMillis: Double,
    val endedMillis: Double
) {
    val waitMillis get() = startedMillis - request.arrivesMillis
    val inTime get() = endedMillis <= request.deadlineMillis
}

/** A request of [key] that was refused. */
internal data class Refusal(val key: RunTimeKey, val atMillis: Double)

/** What became of all requests; one can be refused several times and run in the end. */
internal data class SimulationResult(val ran: List<Ran>, val refusals: List<Refusal>)

/** Returns what becomes of [requests] on [slots]; refused callers return [returns] times. */
internal fun simulate(
    slots: Int,
    requests: List<SimulatedRequest>,
    policy: SimulatedPolicy,
    returns: Int = 0
): SimulationResult = Simulation(slots, policy, returns).run(requests)

private class Simulation(slots: Int, val policy: SimulatedPolicy, val returns: Int) {
    private class Event(val atMillis: Double, val order: Long, val happen: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.order })
    private var order = 0L
    private var free = slots
    private var now = 0.0
    private val ran = mutableListOf<Ran>()
    private val refusals = mutableListOf<Refusal>()

    fun run(requests: List<SimulatedRequest>): SimulationResult {
        requests.forEach { at(it.arrivesMillis) { arrive(it, returns) } }
        while (true) {
            val event = events.poll() ?: return SimulationResult(ran, refusals)
            now = event.atMillis
            event.happen()
        }
    }

    private fun at(millis: Double, happen: () -> Unit) {
        events += Event(millis, order++, happen)
    }

    private fun arrive(request: SimulatedRequest, returnsLeft: Int) {
        val patience = request.deadlineMillis - request.arrivesMillis
        val comeBack = policy.arrive(request, free, now)
        if (comeBack != null) {
            refusals += Refusal(request.key, now)
            if (returnsLeft >
                0
            ) {
                at(now + comeBack) { arrive(again(request, patience), returnsLeft - 1) }
            }
        }
        dispatch()
    }

    private fun again(request: SimulatedRequest, patience: Double) =
        request.copy(arrivesMillis = now, deadlineMillis = now + patience)

    private fun dispatch() {
        while (free > 0) {
            val next = policy.next(now) ?: return
            free--
            val started = now
            at(now + next.runMillis) {
                free++
                ran += Ran(next, started, now)
                policy.finished(next, now)
                dispatch()
            }
        }
    }
}

/** Returns Poisson arrivals of one kind of request over a span of time. */
internal fun arrivals(
    random: Random,
    key: RunTimeKey,
    perSecond: Double,
    spanMillis: ClosedRange<Double>,
    runMillis: (Random) -> Double,
    declaredMillis: Double,
    patienceMillis: Double = 60_000.0
): List<SimulatedRequest> {
    val found = mutableListOf<SimulatedRequest>()
    var at = spanMillis.start
    while (true) {
        at += -ln(1 - random.nextDouble()) / perSecond * 1_000
        if (at >= spanMillis.endInclusive) return found
        val run = runMillis(random)
        found += SimulatedRequest(0, key, declaredMillis, run, at, at + patienceMillis)
    }
}

/** Returns all [parts] with numbers of their own. */
internal fun workload(vararg parts: List<SimulatedRequest>) =
    parts.toList().flatten().mapIndexed { number, request -> request.copy(number = number) }

/** Returns the value below which the [share] of all values lies. */
internal fun List<Double>.percentile(share: Double): Double = sorted()[((size - 1) * share).toInt()]
