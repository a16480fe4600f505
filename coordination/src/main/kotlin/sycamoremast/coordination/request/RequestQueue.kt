/**
 * Requests that wait for a slot.
 *
 * Teams take turns by the slot time that they were given (the team that got least comes first).
 * Within a team, the order is by arrival plus a multiple of the expected run time: short requests
 * overtake long ones, but only those that arrived at most that much later, so that every request's
 * turn comes. Long requests are taken only while [poll] allows them, or before all short ones.
 */
package sycamoremast.coordination.request

import java.util.TreeSet

/**
 * A request that is expected to run for [expectedMillis], and hardly longer than [highMillis].
 *
 * Times count from the clock's origin.
 */
data class WaitingRequest(
    val number: Long,
    val team: String,
    val expectedMillis: Double,
    val highMillis: Double,
    val isLong: Boolean,
    val arrivedMillis: Double,
    val deadlineMillis: Double
)

/** Which requests may be taken from a queue. */
enum class Lanes { SHORT, LONG, BOTH }

/** Waiting requests in the order in which they are served; not safe for concurrent use. */
class RequestQueue(private val ageing: Double = DEFAULT_AGEING) {
    private val teams = linkedMapOf<String, Team>()
    private val byNumber = hashMapOf<Long, WaitingRequest>()
    private val served = linkedMapOf<String, Double>()
    private var virtualMillis = 0.0

    /** The requests that wait. */
    var size = 0
        private set

    /** The short requests that wait. */
    var shortSize = 0
        private set

    /** The expected run time of all requests that wait. */
    val expectedMillis: Double get() = teams.values.sumOf { it.shortMillis + it.longMillis }

    /** Adds [request]. */
    fun offer(request: WaitingRequest) {
        val team = teams.getOrPut(request.team) { activated(request.team) }
        check(byNumber.put(request.number, request) == null) {
            "request ${request.number} waits already"
        }
        team.add(request)
        account(request, 1)
    }

    /** Returns the next request of [lanes] and removes it. */
    fun poll(lanes: Lanes): WaitingRequest? {
        val next = peek(lanes) ?: return null
        virtualMillis = maxOf(virtualMillis, served.getValue(next.team))
        served[next.team] = served.getValue(next.team) + next.expectedMillis
        remove(next.number)
        return next
    }

    /** Returns the next request, which stays in the queue. */
    fun peek(lanes: Lanes): WaitingRequest? = teams.entries
        .filter { it.value.head(lanes) != null }
        .minByOrNull { served.getValue(it.key) }
        ?.value?.head(lanes)

    /**
     * Returns the expected run time of the requests in [lanes] that go before a new one of [team].
     *
     * A team waits for its own requests, and for as much work of each other team that waits.
     */
    fun millisAhead(team: String, lanes: Lanes): Double {
        val own = teams[team]?.millisAhead(lanes) ?: 0.0
        val others = teams.filterKeys { it != team }.values.sumOf { other ->
            minOf(other.millisAhead(lanes), own)
        }
        return own + others
    }

    /** Removes the request [number]; returns whether it was waiting. */
    fun remove(number: Long): Boolean {
        val request = byNumber.remove(number) ?: return false
        val team = teams.getValue(request.team)
        check(team.remove(request)) { "request $number is not in its team's queue" }
        account(request, -1)
        if (team.isEmpty()) teams.remove(request.team)
        return true
    }

    /** Takes back that [polled] got its turn, and lets it wait as [request] instead. */
    fun putBack(polled: WaitingRequest, request: WaitingRequest) {
        served.computeIfPresent(polled.team) { _, sum -> sum - polled.expectedMillis }
        offer(request)
    }

    /** Corrects what the team of [request] was charged, once it is known how long it ran. */
    fun ran(request: WaitingRequest, millis: Double) {
        served.computeIfPresent(request.team) { _, sum -> sum + millis - request.expectedMillis }
    }

    /** A team that comes back gets no credit for the time during which it asked for nothing. */
    private fun activated(team: String): Team {
        served[team] = maxOf(served[team] ?: 0.0, virtualMillis)
        forgetIdleTeams()
        return Team()
    }

    private fun forgetIdleTeams() {
        if (served.size <= MAX_IDLE_TEAMS) return
        served.keys.filter { it !in teams && served.getValue(it) <= virtualMillis }
            .forEach(served::remove)
    }

    private fun account(request: WaitingRequest, sign: Int) {
        size += sign
        if (!request.isLong) shortSize += sign
    }

    private fun turn(request: WaitingRequest) =
        request.arrivedMillis + ageing * request.expectedMillis

    private inner class Team {
        private val order = compareBy<WaitingRequest>(::turn).thenBy { it.number }
        private val short = TreeSet(order)
        private val long = TreeSet(order)

        var shortMillis = 0.0
            private set
        var longMillis = 0.0
            private set

        fun add(request: WaitingRequest): Boolean =
            lane(request).add(request).also { if (it) account(request, 1) }

        fun remove(request: WaitingRequest): Boolean =
            lane(request).remove(request).also { if (it) account(request, -1) }

        fun millisAhead(lanes: Lanes) = when (lanes) {
            Lanes.SHORT -> shortMillis
            Lanes.LONG -> longMillis
            Lanes.BOTH -> shortMillis + longMillis
        }

        private fun lane(request: WaitingRequest) = if (request.isLong) long else short

        private fun account(request: WaitingRequest, sign: Int) {
            if (request.isLong) {
                longMillis += sign * request.expectedMillis
            } else {
                shortMillis += sign * request.expectedMillis
            }
        }

        fun isEmpty() = short.isEmpty() && long.isEmpty()

        fun head(lanes: Lanes): WaitingRequest? = when (lanes) {
            Lanes.SHORT -> short.firstOrNull()
            Lanes.LONG -> long.firstOrNull()
            Lanes.BOTH -> listOfNotNull(short.firstOrNull(), long.firstOrNull())
                .minWithOrNull(order)
        }
    }

    companion object {
        /** How many times its expected run time a request can be overtaken by later ones. */
        const val DEFAULT_AGEING = 8.0

        private const val MAX_IDLE_TEAMS = 1_000
    }
}
