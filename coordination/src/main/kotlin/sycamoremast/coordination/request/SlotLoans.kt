/**
 * Loans of slots between entry hosts.
 *
 * A borrower tells a lender, in numbered rounds, which borrowed slots it still needs and how many
 * more it wants; the lender's answer is the whole of what is lent from then on. A loan lapses for
 * the borrower a time to live after it asked, and for the lender a margin later than that after it
 * answered, so that a lost message leaves slots idle for a while but never in use twice.
 */
package sycamoremast.coordination.request

/** Slots by the name of their backend server. */
typealias SlotCounts = Map<String, Int>

/** The loans that one host has given; not safe for use by several threads at once. */
class LoansGiven(private val ttlMillis: Long, private val marginMillis: Long) {
    private class Loan(val round: Long, val slots: SlotCounts, val untilMillis: Long)

    private val loans = hashMapOf<String, List<Loan>>()
    private val lastRounds = hashMapOf<String, Long>()

    /** Returns the slots of [instance] that are lent out. */
    fun lent(instance: String, nowMillis: Long): Int =
        loans.values.sumOf { counted(it, instance, nowMillis) }

    /** Returns the slots of [instance] that are lent to hosts other than [borrower]. */
    fun lentToOthers(instance: String, borrower: String, nowMillis: Long): Int =
        loans.filterKeys { it != borrower }.values.sumOf { counted(it, instance, nowMillis) }

    /**
     * Returns what [borrower] has on loan from now on, or null if its [round] is out of date.
     *
     * It keeps what it still [needs] of its loans, and gets up to [wanted] more out of [spare].
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
        val earlier = loans[borrower].orEmpty().filter { it.untilMillis > nowMillis }
        val kept = needs.mapValues { (instance, count) ->
            minOf(count, counted(earlier, instance, nowMillis))
        }
        val slots = sum(kept, chosen(spare, wanted)).filterValues { it > 0 }
        val until = nowMillis + ttlMillis + marginMillis
        loans[borrower] = listOf(Loan(round, slots, until))
        return slots
    }

    private fun counted(loans: List<Loan>, instance: String, nowMillis: Long) =
        loans.filter { it.untilMillis > nowMillis }.maxOfOrNull { it.slots[instance] ?: 0 } ?: 0

    private fun chosen(spare: SlotCounts, wanted: Int): SlotCounts {
        var left = wanted
        return spare.mapValues { (_, count) ->
            minOf(count, left).also { left -= it }
        }
    }

    private fun sum(one: SlotCounts, other: SlotCounts): SlotCounts =
        (one.keys + other.keys).associateWith { (one[it] ?: 0) + (other[it] ?: 0) }
}

/** A borrower's message to a lender. */
data class LoanRound(val number: Long, val needs: SlotCounts, val wanted: Int)

/** The loans that one host has taken; not safe for use by several threads at once. */
class LoansTaken(private val ttlMillis: Long, firstRound: Long = 0) {
    private class Loan(val slots: SlotCounts, val untilMillis: Long)

    private val loans = hashMapOf<String, Loan>()
    private var lastRound = firstRound
    private val asked = hashMapOf<String, Pair<Long, Long>>()

    /** Numbers the next rounds from above [least], past those of an earlier process of this host. */
    fun numberFrom(least: Long) {
        lastRound = maxOf(lastRound, least)
    }

    /** Returns the slots of [instance] that are borrowed from any host. */
    fun borrowed(instance: String, nowMillis: Long): Int = loans.values
        .filter { it.untilMillis > nowMillis }
        .sumOf { it.slots[instance] ?: 0 }

    /** Returns the hosts that slots are borrowed from. */
    fun lenders(nowMillis: Long): Set<String> =
        loans.filterValues { it.untilMillis > nowMillis && it.slots.isNotEmpty() }.keys.toSet()

    /**
     * Returns the message that asks [lender] for [wanted] more slots.
     *
     * Of its loans, [inUse] borrowed slots are needed still; the others are given up at once.
     */
    fun ask(lender: String, inUse: SlotCounts, wanted: Int, nowMillis: Long): LoanRound {
        val loan = loans[lender]?.takeIf { it.untilMillis > nowMillis }
        val needs = loan?.slots.orEmpty()
            .mapValues { (instance, count) -> minOf(count, inUse[instance] ?: 0) }
            .filterValues { it > 0 }
        loans[lender] = Loan(needs, loan?.untilMillis ?: nowMillis)
        asked[lender] = ++lastRound to nowMillis
        return LoanRound(lastRound, needs, wanted)
    }

    /** Takes the answer [slots] of [lender] to its [round]; an answer to an earlier one is void. */
    fun answered(lender: String, round: Long, slots: SlotCounts) {
        val (number, atMillis) = asked[lender] ?: return
        if (number == round) loans[lender] = Loan(slots, atMillis + ttlMillis)
    }
}
