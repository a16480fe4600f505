/**
 * A fair queue of the requests that wait for a slot.
 *
 * The team that has been charged the least slot time goes first. Within a team, requests are
 * ordered by arrival time plus a multiple of the expected run time: short requests overtake long
 * ones, but only within a bounded time after the arrival of the long one, so that no request
 * starves. The caller of [RequestQueue.poll] chooses whether it takes short requests, long requests
 * or both.
 */
package sycamoremast.coordination.request

import java.util.TreeSet

/**
 * A request in the queue of a service.
 *
 * [expectedMillis] is the expected median of its run time and [p90Millis] the 90th percentile.
 * [arrivedMillis] and [deadlineMillis] count from the origin of the caller's clock.
 */
data class WaitingRequest(
    val number: Long,
    val team: String,
    val expectedMillis: Double,
    val p90Millis: Double,
    val isLong: Boolean,
    val arrivedMillis: Double,
    val deadlineMillis: Double
)

/** Selects waiting requests by the length of their expected run time. */
enum class LengthFilter { SHORT, LONG, BOTH }

/** Waiting requests in the order in which they get slots; not safe for concurrent use. */
class RequestQueue(private val runTimeWeight: Double = DEFAULT_RUN_TIME_WEIGHT) {
    private val teams = linkedMapOf<String, Team>()
    private val byNumber = hashMapOf<Long, WaitingRequest>()

    /** The slot time in milliseconds that each team has been charged. */
    private val charges = linkedMapOf<String, Double>()

    /** The highest charge of a team at the time of its turn; returning teams start from it. */
    private var virtualTimeMillis = 0.0

    /** The number of waiting requests. */
    var size = 0
        private set

    /** The number of waiting short requests. */
    var shortSize = 0
        private set

    /** The total expected run time of all waiting requests. */
    val totalExpectedMillis: Double get() = teams.values.sumOf { it.shortMillis + it.longMillis }

    /** Adds [request]. */
    fun offer(request: WaitingRequest) {
        val team = teams.getOrPut(request.team) { activateTeam(request.team) }
        check(byNumber.put(request.number, request) == null) {
            "request ${request.number} is already queued"
        }
        team.add(request)
        updateTotals(request, 1)
    }

    /** Removes and returns the next request that matches [filter], and charges its team for it. */
    fun poll(filter: LengthFilter): WaitingRequest? {
        val next = peek(filter) ?: return null
        virtualTimeMillis = maxOf(virtualTimeMillis, charges.getValue(next.team))
        charges[next.team] = charges.getValue(next.team) + next.expectedMillis
        remove(next.number)
        return next
    }

    /** Returns the next request that matches [filter] without removing it. */
    fun peek(filter: LengthFilter): WaitingRequest? = teams.entries
        .filter { it.value.first(filter) != null }
        .minByOrNull { charges.getValue(it.key) }
        ?.value?.first(filter)

    /**
     * Returns the expected run time of the [filter] requests that go before a new one of [team].
     *
     * These are all waiting requests of the team itself, and up to the same amount of work of each
     * other team, as the teams take turns.
     */
    fun millisAhead(team: String, filter: LengthFilter): Double {
        val own = teams[team]?.millisAhead(filter) ?: 0.0
        val others = teams.filterKeys { it != team }.values.sumOf { other ->
            minOf(other.millisAhead(filter), own)
        }
        return own + others
    }

    /** Removes the request [number] and returns whether it was waiting. */
    fun remove(number: Long): Boolean {
        val request = byNumber.remove(number) ?: return false
        val team = teams.getValue(request.team)
        check(team.remove(request)) { "request $number is missing from the queue of its team" }
        updateTotals(request, -1)
        if (team.isEmpty()) teams.remove(request.team)
        return true
    }

    /** Reverts the charge for [polled], and queues the request again as [request]. */
    fun requeue(polled: WaitingRequest, request: WaitingRequest) {
        charges.computeIfPresent(polled.team) { _, sum -> sum - polled.expectedMillis }
        offer(request)
    }

    /** Replaces the estimated charge for [request] by its actual run time of [millis]. */
    fun correctCharge(request: WaitingRequest, millis: Double) {
        charges.computeIfPresent(request.team) { _, sum -> sum + millis - request.expectedMillis }
    }

    /** Adds a team to the queue; a returning team gets no credit for its idle time. */
    private fun activateTeam(team: String): Team {
        charges[team] = maxOf(charges[team] ?: 0.0, virtualTimeMillis)
        removeIdleTeams()
        return Team()
    }

    private fun removeIdleTeams() {
        if (charges.size <= MAX_IDLE_TEAMS) return
        charges.keys.filter { it !in teams && charges.getValue(it) <= virtualTimeMillis }
            .forEach(charges::remove)
    }

    private fun updateTotals(request: WaitingRequest, sign: Int) {
        size += sign
        if (!request.isLong) shortSize += sign
    }

    private fun orderKey(request: WaitingRequest) =
        request.arrivedMillis + runTimeWeight * request.expectedMillis

    private inner class Team {
        private val order = compareBy<WaitingRequest>(::orderKey).thenBy { it.number }
        private val short = TreeSet(order)
        private val long = TreeSet(order)

        var shortMillis = 0.0
            private set
        var longMillis = 0.0
            private set

        fun add(request: WaitingRequest): Boolean =
            queueOf(request).add(request).also { if (it) updateTotals(request, 1) }

        fun remove(request: WaitingRequest): Boolean =
            queueOf(request).remove(request).also { if (it) updateTotals(request, -1) }

        fun millisAhead(filter: LengthFilter) = when (filter) {
            LengthFilter.SHORT -> shortMillis
            LengthFilter.LONG -> longMillis
            LengthFilter.BOTH -> shortMillis + longMillis
        }

        private fun queueOf(request: WaitingRequest) = if (request.isLong) long else short

        private fun updateTotals(request: WaitingRequest, sign: Int) {
            if (request.isLong) {
                longMillis += sign * request.expectedMillis
            } else {
                shortMillis += sign * request.expectedMillis
            }
        }

        fun isEmpty() = short.isEmpty() && long.isEmpty()

        fun first(filter: LengthFilter): WaitingRequest? = when (filter) {
            LengthFilter.SHORT -> short.firstOrNull()
            LengthFilter.LONG -> long.firstOrNull()
            LengthFilter.BOTH -> listOfNotNull(short.firstOrNull(), long.firstOrNull())
                .minWithOrNull(order)
        }
    }

    companion object {
        /** Later requests can overtake one for at most this many times its expected run time. */
        const val DEFAULT_RUN_TIME_WEIGHT = 8.0

        /** The number of known teams above which the charges of idle teams are dropped. */
        private const val MAX_IDLE_TEAMS = 1_000
    }
}
