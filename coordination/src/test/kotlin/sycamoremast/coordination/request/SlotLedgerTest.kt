/** Shares and loans of several hosts together, through changes of membership and lost messages. */
package sycamoremast.coordination.request

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import sycamoremast.coordination.membership.MemberState
import sycamoremast.coordination.membership.MemberState.GONE
import sycamoremast.coordination.membership.MemberState.LIVE

class SlotLedgerTest {
    private val times = LedgerTimes(ShareTimes(joinMillis = 0))

    @Test
    fun `a loan moves slots from its lender to its borrower`() {
        val (lender, borrower) = settledPair()
        val round = borrower.ask("a", emptyMap(), wanted = 3, nowMillis = 100)
        val lent = lender.lend("b", round, mapOf(INSTANCE to 2), mapOf(INSTANCE to 8), 110)
        borrower.answered("a", round.number, checkNotNull(lent))
        expectThat(lender.limit(INSTANCE, 8, 120)).isEqualTo(2)
        expectThat(borrower.limit(INSTANCE, 8, 120)).isEqualTo(6)
    }

    @Test
    fun `a loan lapses for its borrower before it does for its lender`() {
        val (lender, borrower) = settledPair()
        val round = borrower.ask("a", emptyMap(), wanted = 2, nowMillis = 100)
        val lent = lender.lend("b", round, mapOf(INSTANCE to 2), mapOf(INSTANCE to 8), 110)
        borrower.answered("a", round.number, checkNotNull(lent))
        expectThat(borrower.limit(INSTANCE, 8, 1_099)).isEqualTo(6)
        expectThat(borrower.limit(INSTANCE, 8, 1_100)).isEqualTo(4)
        expectThat(lender.limit(INSTANCE, 8, 1_309)).isEqualTo(2)
        expectThat(lender.limit(INSTANCE, 8, 1_310)).isEqualTo(4)
    }

    @Test
    fun `slots that are not needed any more go back at once`() {
        val (lender, borrower) = settledPair()
        val first = borrower.ask("a", emptyMap(), wanted = 2, nowMillis = 100)
        val totals = mapOf(INSTANCE to 8)
        val lent = lender.lend("b", first, mapOf(INSTANCE to 2), totals, 110)
        borrower.answered("a", first.number, checkNotNull(lent))
        val second = borrower.ask("a", mapOf(INSTANCE to 1), wanted = 0, nowMillis = 200)
        expectThat(borrower.limit(INSTANCE, 8, 200)).isEqualTo(5)
        lender.lend("b", second, emptyMap(), totals, 210)
        expectThat(lender.limit(INSTANCE, 8, 210)).isEqualTo(3)
    }

    @Test
    fun `a message that was overtaken by a newer one lends nothing`() {
        val (lender, borrower) = settledPair()
        val older = borrower.ask("a", emptyMap(), wanted = 2, nowMillis = 100)
        val newer = borrower.ask("a", emptyMap(), wanted = 0, nowMillis = 200)
        val totals = mapOf(INSTANCE to 8)
        lender.lend("b", newer, mapOf(INSTANCE to 2), totals, 210)
        expectThat(lender.lend("b", older, mapOf(INSTANCE to 2), totals, 220)).isEqualTo(null)
        expectThat(lender.limit(INSTANCE, 8, 220)).isEqualTo(4)
    }

    @Test
    fun `a host that has not looked at the membership for long may use nothing`() {
        val (lender, _) = settledPair()
        expectThat(lender.limit(INSTANCE, 8, 2_001)).isEqualTo(0)
    }

    @Test
    fun `the limits of all hosts never exceed the slots, whatever the changes`(): Unit =
        runBlocking {
            checkAll(PropTestConfig(seed = 20_261_204, iterations = 200), Arb.int()) { seed ->
                val fleet = SimulatedFleet(Random(seed))
                repeat(STEPS) {
                    fleet.step()
                    expectThat(fleet.sumOfLimits()).isLessThanOrEqualTo(SimulatedFleet.SLOTS)
                }
            }
        }

    @Test
    fun `a settled fleet without loans leaves no slot idle`() {
        val fleet = SimulatedFleet(Random(1), changes = false, lends = false)
        repeat(STEPS) { fleet.step() }
        expectThat(fleet.sumOfLimits()).isEqualTo(SimulatedFleet.SLOTS)
    }

    @Test
    fun `loans and changes leave few slots idle`() {
        val calm = meanOfLimits(SimulatedFleet(Random(2), changes = false, network = Network.GOOD))
        val changing = meanOfLimits(SimulatedFleet(Random(2), network = Network.GOOD))
        expectThat(calm).isGreaterThan(0.85 * SimulatedFleet.SLOTS)
        expectThat(changing).isGreaterThan(0.6 * SimulatedFleet.SLOTS)
    }

    /** Returns the mean once the fleet has started. */
    private fun meanOfLimits(fleet: SimulatedFleet): Double {
        repeat(STEPS) { fleet.step() }
        return List(10 * STEPS) { fleet.apply { step() }.sumOfLimits() }.average()
    }

    private fun settledPair(): Pair<SlotLedger, SlotLedger> {
        val lender = SlotLedger("a", times)
        val borrower = SlotLedger("b", times)
        lender.observe(mapOf("b" to LIVE), 0)
        borrower.observe(mapOf("a" to LIVE), 0)
        return lender to borrower
    }

    private companion object {
        const val INSTANCE = "backend-1"
        const val STEPS = 600
    }
}

/** How the hosts' messages fare, and how often a host asks for slots. */
private data class Network(val lossPercent: Int, val maxDelayMillis: Long, val stepsPerAsk: Int) {
    companion object {
        val GOOD = Network(lossPercent = 0, maxDelayMillis = 20, stepsPerAsk = 20)
        val BAD = Network(lossPercent = 20, maxDelayMillis = 400, stepsPerAsk = 4)
    }
}

/** Hosts that start, die and pause at random, with views that lag and messages that get lost. */
private class SimulatedFleet(
    private val random: Random,
    private val changes: Boolean = true,
    private val lends: Boolean = true,
    private val network: Network = Network.BAD
) {
    private class Host(val name: String, var ledger: SlotLedger) {
        var alive = true
        var pausedUntilMillis = 0L
        var changedMillis = 0L
    }

    private class Message(val atMillis: Long, val deliver: () -> Unit)

    private val hosts = (1..HOSTS).map { Host("entry-$it", SlotLedger("entry-$it")) }
    private val messages = mutableListOf<Message>()
    private var now = 0L

    fun step() {
        now += STEP_MILLIS
        if (changes) change()
        messages.filter { it.atMillis <= now }.also { messages -= it.toSet() }
            .forEach { it.deliver() }
        running().forEach { host ->
            host.ledger.observe(viewOf(host), now)
            if (lends && random.nextInt(network.stepsPerAsk) == 0) ask(host)
        }
    }

    fun sumOfLimits() = running().sumOf { it.ledger.limit(INSTANCE, SLOTS, now) }

    private fun running() = hosts.filter { it.alive && it.pausedUntilMillis <= now }

    private fun change() {
        val host = hosts.random(random)
        when (random.nextInt(120)) {
            0 -> if (host.alive) set(host, alive = false)
            1 -> if (!host.alive && now - host.changedMillis > 2 * LAG_MILLIS) restart(host)
            2 -> host.pausedUntilMillis = now + random.nextLong(10_000)
        }
    }

    private fun restart(host: Host) {
        host.ledger = SlotLedger(host.name, firstRound = now * 1_000)
        set(host, alive = true)
    }

    private fun set(host: Host, alive: Boolean) {
        host.alive = alive
        host.changedMillis = now
    }

    /** What [viewer] sees of the others: the truth, up to [LAG_MILLIS] late. */
    private fun viewOf(viewer: Host): Map<String, MemberState> =
        (hosts - viewer).associate { host ->
            val lag = random.nextLong(LAG_MILLIS)
            val seen = if (now - host.changedMillis >= lag) host.alive else !host.alive
            host.name to if (seen) LIVE else GONE
        }

    private fun ask(borrower: Host) {
        val lender = (hosts - borrower).random(random)
        val ledger = borrower.ledger
        val inUse = mapOf(INSTANCE to random.nextInt(3))
        val round = ledger.ask(lender.name, inUse, random.nextInt(3), now)
        send { answer(lender, borrower, ledger, round) }
    }

    private fun answer(lender: Host, borrower: Host, asked: SlotLedger, round: LoanRound) {
        if (!lender.alive || lender.pausedUntilMillis > now) return
        val limit = lender.ledger.share(INSTANCE, SLOTS, now)
        val free = lender.ledger.limit(INSTANCE, SLOTS, now) -
            lender.ledger.borrowed(INSTANCE, now)
        val spare = mapOf(INSTANCE to minOf(limit, free).coerceAtLeast(0))
        val lent = lender.ledger.lend(borrower.name, round, spare, mapOf(INSTANCE to SLOTS), now)
        if (lent != null) send { asked.answered(lender.name, round.number, lent) }
    }

    private fun send(deliver: () -> Unit) {
        if (random.nextInt(100) < network.lossPercent) return
        messages += Message(now + random.nextLong(network.maxDelayMillis), deliver)
    }

    companion object {
        const val SLOTS = 8
        private const val HOSTS = 7
        private const val INSTANCE = "backend-1"
        private const val STEP_MILLIS = 50L
        private const val LAG_MILLIS = 1_000L
    }
}
