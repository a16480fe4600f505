/**
 * How many slots of each backend server this entry host may use at a time.
 *
 * That is its share by membership, less what it has lent to other hosts, plus what it has borrowed.
 * A host that has not looked at the membership for a while, for example because it was paused, may
 * use none until it has joined anew.
 */
package sycamoremast.coordination.request

import sycamoremast.coordination.membership.MemberState

/** The times of a [SlotLedger]; a loan lasts [loanMillis], for its lender [loanMarginMillis] more. */
data class LedgerTimes(
    val shares: ShareTimes = ShareTimes(),
    val loanMillis: Long = 1_000,
    val loanMarginMillis: Long = 200
) {
    init {
        require(loanMillis > 0 && loanMarginMillis >= 0) { "loans must last: $loanMillis" }
    }
}

/** Keeps shares and loans; not safe for use by several threads at once. */
class SlotLedger(
    private val self: String,
    private val times: LedgerTimes = LedgerTimes(),
    firstRound: Long = 0
) {
    private val counted = CountedHosts(self, times.shares)
    private val given = LoansGiven(times.loanMillis, times.loanMarginMillis)
    private val taken = LoansTaken(times.loanMillis, firstRound)
    private val views = linkedMapOf<Set<String>, Long>()
    private var observedMillis = Long.MIN_VALUE / 2

    /** Takes the state of the other [members]. */
    fun observe(members: Map<String, MemberState>, nowMillis: Long) {
        views[counted.observe(members, nowMillis)] = nowMillis
        views.values.removeIf { it < nowMillis - times.shares.settleMillis }
        observedMillis = nowMillis
    }

    /**
     * Returns this host's share in [total] slots or connections of [instance].
     *
     * That is the least share by any recent view: a share falls at once and rises late.
     */
    fun share(instance: String, total: Int, nowMillis: Long): Int {
        if (nowMillis - observedMillis > times.shares.pauseMillis) return 0
        return views.keys.minOfOrNull { shareOf(total, instance, it, self) } ?: 0
    }

    /** Returns how many of the [total] slots of [instance] this host may use. */
    fun limit(instance: String, total: Int, nowMillis: Long): Int {
        val own = share(instance, total, nowMillis) - given.lent(instance, nowMillis)
        return maxOf(0, own) + taken.borrowed(instance, nowMillis)
    }

    /** Returns the slots that are borrowed at present. */
    fun borrowed(instance: String, nowMillis: Long): Int = taken.borrowed(instance, nowMillis)

    /** Returns the hosts that lend slots to this one. */
    fun lenders(nowMillis: Long): Set<String> = taken.lenders(nowMillis)

    /** Numbers the next messages to lenders from above [least]. */
    fun numberFrom(least: Long) = taken.numberFrom(least)

    /** Returns the message that asks [lender] for [wanted] slots; [inUse] of its loans are needed. */
    fun ask(lender: String, inUse: SlotCounts, wanted: Int, nowMillis: Long): LoanRound =
        taken.ask(lender, inUse, wanted, nowMillis)

    /** Takes the answer [slots] of [lender] to its [round]. */
    fun answered(lender: String, round: Long, slots: SlotCounts) =
        taken.answered(lender, round, slots)

    /**
     * Returns what [borrower] has on loan after its message [round], or null if that is outdated.
     *
     * All loans together never exceed the present share in the [totals] of each instance, so that
     * loans which were given before the share fell are not prolonged.
     */
    fun lend(
        borrower: String,
        round: LoanRound,
        spare: SlotCounts,
        totals: SlotCounts,
        nowMillis: Long
    ): SlotCounts? {
        val needs = round.needs.mapValues { (instance, count) ->
            val share = share(instance, totals[instance] ?: 0, nowMillis)
            minOf(count, share - given.lentToOthers(instance, borrower, nowMillis)).coerceAtLeast(0)
        }
        return given.lend(borrower, round.number, needs, round.wanted, spare, nowMillis)
    }
}
