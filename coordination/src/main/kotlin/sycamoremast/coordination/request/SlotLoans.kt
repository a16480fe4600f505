/**
 * Loans of backend server slots between entry hosts.
 *
 * In numbered rounds, a borrower tells a lender which borrowed slots it still needs and how many
 * more it wants; the lender's response lists all slots on loan from then on. A loan expires for the
 * borrower one TTL after its request was sent, and for the lender one TTL plus a margin after its
 * response. A lost message therefore leaves slots idle for a while, but no slot is used twice.
 */
package sycamoremast.coordination.request

/** Numbers of slots by the name of their backend server. */
typealias SlotCounts = Map<String, Int>

/** The loans of one host to others; not safe for use by several threads at once. */
class OutgoingLoans(private val ttlMillis: Long, private val marginMillis: Long) {
    private class Loan(val round: Long, val slots: SlotCounts, val expiresAtMillis: Long)

    private val loans = hashMapOf<String, List<Loan>>()
    private val lastRounds = hashMapOf<String, Long>()

    /** Returns how many slots of [instance] are on loan to other hosts. */
    fun lent(instance: String, nowMillis: Long): Int =
        loans.values.sumOf { lentBy(it, instance, nowMillis) }

    /** Returns how many slots of [instance] are on loan to hosts other than [borrower]. */
    fun lentToOthers(instance: String, borrower: String, nowMillis: Long): Int =
        loans.filterKeys { it != borrower }.values.sumOf { lentBy(it, instance, nowMillis) }

    /**
     * Returns all slots on loan to [borrower] from now on, or null if its [round] is outdated.
     *
     * The loans that it still [needs] are renewed, and up to [wanted] slots of [spare] are added.
     */
    fun lend(
        borrower: String,
        round: Long,
        needs: SlotCounts,
        wanted: Int,
        spare: SlotCounts,
        nowMillis: Long
    ): SlotCounts? {
        if (round <= (lastRounds[borrower] ?: Long.MIN_VALUE)) return null
        lastRounds[borrower] = round
        val earlier = loans[borrower].orEmpty().filter { it.expiresAtMillis > nowMillis }
        val renewed = needs.mapValues { (instance, count) ->
            minOf(count, lentBy(earlier, instance, nowMillis))
        }
        val slots = sum(renewed, firstSlots(spare, wanted)).filterValues { it > 0 }
        val until = nowMillis + ttlMillis + marginMillis
        loans[borrower] = listOf(Loan(round, slots, until))
        return slots
    }

    private fun lentBy(loans: List<Loan>, instance: String, nowMillis: Long) =
        loans.filter { it.expiresAtMillis > nowMillis }.maxOfOrNull { it.slots[instance] ?: 0 } ?: 0

    private fun firstSlots(spare: SlotCounts, wanted: Int): SlotCounts {
        var left = wanted
        return spare.mapValues { (_, count) ->
            minOf(count, left).also { left -= it }
        }
    }

    private fun sum(one: SlotCounts, other: SlotCounts): SlotCounts =
        (one.keys + other.keys).associateWith { (one[it] ?: 0) + (other[it] ?: 0) }
}

/** A borrower's request in round [number]: the loans that it still [needs], and [wanted] more. */
data class LoanRequest(val number: Long, val needs: SlotCounts, val wanted: Int)

/** The loans of one host from others; not safe for use by several threads at once. */
class IncomingLoans(private val ttlMillis: Long, firstRound: Long = 0) {
    private class Loan(val slots: SlotCounts, val expiresAtMillis: Long)

    private val loans = hashMapOf<String, Loan>()
    private var lastRound = firstRound
    private val lastRequests = hashMapOf<String, Pair<Long, Long>>()

    /** Makes the next rounds greater than [last], the last of an earlier process of this host. */
    fun skipRounds(last: Long) {
        lastRound = maxOf(lastRound, last)
    }

    /** Returns how many slots of [instance] are borrowed, from all hosts together. */
    fun borrowed(instance: String, nowMillis: Long): Int = loans.values
        .filter { it.expiresAtMillis > nowMillis }
        .sumOf { it.slots[instance] ?: 0 }

    /** Returns the hosts from which slots are borrowed. */
    fun lenders(nowMillis: Long): Set<String> =
        loans.filterValues { it.expiresAtMillis > nowMillis && it.slots.isNotEmpty() }.keys.toSet()

    /**
     * Returns a request to [lender] for [wanted] more slots.
     *
     * Borrowed slots that are not [inUse] are returned at once.
     */
    fun requestLoan(lender: String, inUse: SlotCounts, wanted: Int, nowMillis: Long): LoanRequest {
        val loan = loans[lender]?.takeIf { it.expiresAtMillis > nowMillis }
        val needs = loan?.slots.orEmpty()
            .mapValues { (instance, count) -> minOf(count, inUse[instance] ?: 0) }
            .filterValues { it > 0 }
        loans[lender] = Loan(needs, loan?.expiresAtMillis ?: nowMillis)
        lastRequests[lender] = ++lastRound to nowMillis
        return LoanRequest(lastRound, needs, wanted)
    }

    /** Records the [slots] granted by [lender]; a response to an earlier [round] is ignored. */
    fun recordGrant(lender: String, round: Long, slots: SlotCounts) {
        val (number, atMillis) = lastRequests[lender] ?: return
        if (number == round) loans[lender] = Loan(slots, atMillis + ttlMillis)
    }
}
