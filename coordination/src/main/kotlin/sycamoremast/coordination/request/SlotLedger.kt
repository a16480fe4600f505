/**
 * Computes how many slots of each backend server this entry host may use at a time.
 *
 * This is the host's share by membership, minus the slots lent to other hosts, plus the slots
 * borrowed from them. A host that has not observed the membership for a while, for example because
 * its process was paused, may use no share until it has joined again.
 */
package sycamoremast.coordination.request

import sycamoremast.coordination.membership.MemberState

/**
 * The times of a [SlotLedger].
 *
 * A loan lasts [loanMillis] for its borrower, and [loanMarginMillis] longer for its lender.
 */
data class LedgerTimes(
    val shares: ShareTimes = ShareTimes(),
    val loanMillis: Long = 1_000,
    val loanMarginMillis: Long = 200
) {
    init {
        require(loanMillis > 0 && loanMarginMillis >= 0) {
            "loanMillis must be positive and loanMarginMillis not negative: $loanMillis"
        }
    }
}

/** The slot shares and loans of the host [self]; not safe for use by several threads at once. */
class SlotLedger(
    private val self: String,
    private val times: LedgerTimes = LedgerTimes(),
    firstRound: Long = 0
) {
    private val sharingHosts = CountedHosts(self, times.shares)
    private val outgoing = OutgoingLoans(times.loanMillis, times.loanMarginMillis)
    private val incoming = IncomingLoans(times.loanMillis, firstRound)
    private val recentViews = linkedMapOf<Set<String>, Long>()
    private var observedMillis = Long.MIN_VALUE / 2

    /** Updates the shares from the states of the other [members]. */
    fun observe(members: Map<String, MemberState>, nowMillis: Long) {
        recentViews[sharingHosts.observe(members, nowMillis)] = nowMillis
        recentViews.values.removeIf { it < nowMillis - times.shares.settleMillis }
        observedMillis = nowMillis
    }

    /**
     * Returns this host's share in [total] slots or connections of [instance].
     *
     * This is the smallest share by any recent view of the membership: a decrease takes effect at
     * once and an increase only after the settling time.
     */
    fun share(instance: String, total: Int, nowMillis: Long): Int {
        if (nowMillis - observedMillis > times.shares.pauseMillis) return 0
        return recentViews.keys.minOfOrNull { shareOf(total, instance, it, self) } ?: 0
    }

    /** Returns how many of the [total] slots of [instance] this host may use. */
    fun limit(instance: String, total: Int, nowMillis: Long): Int {
        val available = share(instance, total, nowMillis) - outgoing.lent(instance, nowMillis)
        return maxOf(0, available) + incoming.borrowed(instance, nowMillis)
    }

    /** Returns how many slots of [instance] are borrowed from other hosts. */
    fun borrowed(instance: String, nowMillis: Long): Int = incoming.borrowed(instance, nowMillis)

    /** Returns the hosts that currently lend slots to this one. */
    fun lenders(nowMillis: Long): Set<String> = incoming.lenders(nowMillis)

    /** Makes the next loan requests use round numbers greater than [last]. */
    fun skipRounds(last: Long) = incoming.skipRounds(last)

    /** Returns a request to [lender] for [wanted] more slots; borrowed ones [inUse] are kept. */
    fun requestLoan(lender: String, inUse: SlotCounts, wanted: Int, nowMillis: Long): LoanRequest =
        incoming.requestLoan(lender, inUse, wanted, nowMillis)

    /** Records the [slots] that [lender] granted in its response to [round]. */
    fun recordGrant(lender: String, round: Long, slots: SlotCounts) =
        incoming.recordGrant(lender, round, slots)

    /**
     * Returns all slots on loan to [borrower] after its [request], or null if that is outdated.
     *
     * Renewed loans together never exceed the current share in the [totals] of each instance, so
     * loans granted before the share decreased are not renewed.
     */
    fun lend(
        borrower: String,
        request: LoanRequest,
        spare: SlotCounts,
        totals: SlotCounts,
        nowMillis: Long
    ): SlotCounts? {
        val renewable = request.needs.mapValues { (instance, count) ->
            val share = share(instance, totals[instance] ?: 0, nowMillis)
            minOf(count, share - outgoing.lentToOthers(instance, borrower, nowMillis))
                .coerceAtLeast(0)
        }
        return outgoing.lend(borrower, request.number, renewable, request.wanted, spare, nowMillis)
    }
}
