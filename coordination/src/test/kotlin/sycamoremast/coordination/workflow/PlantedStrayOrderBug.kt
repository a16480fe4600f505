/** Faults planted in how owners treat workers that may have restarted, which the plays must find. */
package sycamoremast.coordination.workflow

internal enum class PlantedStrayOrderBug(val text: String) {
    LEASE_IN_DOUBT("polls extend the lease by the clock known last, also after a failed call"),
    START_IN_DOUBT("a start is sent to a worker that may have restarted since its last report"),
    INTRODUCTION_UNFENCED(
        "an introduction doesn't raise the token, so earlier orders go on to count"
    ),
    STRAYS_UNRECORDED("the roster lacks the leases that stray orders may have granted"),
    STRAYS_IGNORED("a successor doesn't count on the leases of stray orders in the roster");

    /** Owners that believe that workers accept no longer leases than theirs need no fresh report. */
    fun alter(settings: SchedulerSettings): SchedulerSettings = when (this) {
        START_IN_DOUBT -> settings.copy(longestLeaseMillis = settings.leaseMillis)
        else -> settings
    }

    /** Returns what is sent at [nowMillis] in place of [order]; [last] is the last lease granted. */
    fun alter(order: WorkerOrder, last: LeaseGrant?, nowMillis: Long): WorkerOrder = when (this) {
        LEASE_IN_DOUBT -> if (order is PollOrder && last != null) {
            order.copy(leaseEndMillis = last.endMillis + nowMillis - last.sentMillis)
        } else {
            order
        }

        INTRODUCTION_UNFENCED -> order.withToken(order.fencingToken / TOKENS * TOKENS)

        else -> order
    }

    fun alterWritten(record: RosterRecord): RosterRecord =
        if (this == STRAYS_UNRECORDED) record.withoutStrays() else record

    fun alterRead(record: RosterRecord): RosterRecord =
        if (this == STRAYS_IGNORED) record.withoutStrays() else record

    private fun RosterRecord.withoutStrays() = copy(strayLeasesLeft = null)

    private fun WorkerOrder.withToken(token: Long): WorkerOrder = when (this) {
        is StartOrder -> copy(fencingToken = token)
        is StopOrder -> copy(fencingToken = token)
        is PollOrder -> copy(fencingToken = token)
        is PaceOrder -> copy(fencingToken = token)
    }

    private companion object {
        /** The number of tokens of an epoch. */
        const val TOKENS = 1_000_000_000L
    }
}

/** A lease until [endMillis] on the worker's clock, granted by an order sent at [sentMillis]. */
internal class LeaseGrant(val endMillis: Long, val sentMillis: Long)

internal val WorkerOrder.leaseEndMillisOrNull: Long?
    get() = when (this) {
        is StartOrder -> leaseEndMillis
        is PollOrder -> leaseEndMillis
        is StopOrder, is PaceOrder -> null
    }
