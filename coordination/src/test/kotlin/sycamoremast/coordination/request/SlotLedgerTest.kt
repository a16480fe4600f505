/** Tests slot shares and loans between hosts, with membership changes and lost messages. */
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
        val round = borrower.requestLoan("a", emptyMap(), wanted = 3, nowMillis = 100)
        val lent = lender.lend("b", round, mapOf(INSTANCE to 2), mapOf(INSTANCE to 8), 110)
        borrower.recordGrant("a", round.number, checkNotNull(lent))
        expectThat(lender.limit(INSTANCE, 8, 120)).isEqualTo(2)
        expectThat(borrower.limit(INSTANCE, 8, 120)).isEqualTo(6)
    }

    @Test
    fun `a loan expires for its borrower before it does for its lender`() {
        val (lender, borrower) = settledPair()
        val round = borrower.requestLoan("a", emptyMap(), wanted = 2, nowMillis = 100)
        val lent = lender.lend("b", round, mapOf(INSTANCE to 2), mapOf(INSTANCE to 8), 110)
        borrower.recordGrant("a", round.number, checkNotNull(lent))
        expectThat(borrower.limit(INSTANCE, 8, 1_099)).isEqualTo(6)
        expectThat(borrower.limit(INSTANCE, 8, 1_100)).isEqualTo(4)
        expectThat(lender.limit(INSTANCE, 8, 1_309)).isEqualTo(2)
        expectThat(lender.limit(INSTANCE, 8, 1_310)).isEqualTo(4)
    }

    @Test
    fun `unneeded slots are returned with the next request`() {
        val (lender, borrower) = settledPair()
        val first = borrower.requestLoan("a", emptyMap(), wanted = 2, nowMillis = 100)
        val totals = mapOf(INSTANCE to 8)
        val lent = lender.lend("b", first, mapOf(INSTANCE to 2), totals, 110)
        borrower.recordGrant("a", first.number, checkNotNull(lent))
        val second = borrower.requestLoan("a", mapOf(INSTANCE to 1), wanted = 0, nowMillis = 200)
        expectThat(borrower.limit(INSTANCE, 8, 200)).isEqualTo(5)
        lender.lend("b", second, emptyMap(), totals, 210)
        expectThat(lender.limit(INSTANCE, 8, 210)).isEqualTo(3)
    }

    @Test
    fun `rejects a request that arrives after a newer one`() {
        val (lender, borrower) = settledPair()
        val older = borrower.requestLoan("a", emptyMap(), wanted = 2, nowMillis = 100)
        val newer = borrower.requestLoan("a", emptyMap(), wanted = 0, nowMillis = 200)
        val totals = mapOf(INSTANCE to 8)
        lender.lend("b", newer, mapOf(INSTANCE to 2), totals, 210)
        expectThat(lender.lend("b", older, mapOf(INSTANCE to 2), totals, 220)).isEqualTo(null)
        expectThat(lender.limit(INSTANCE, 8, 220)).isEqualTo(4)
    }

    @Test
    fun `a host that has not observed the membership recently may use no slots`() {
        val (lender, _) = settledPair()
        expectThat(lender.limit(INSTANCE, 8, 2_001)).isEqualTo(0)
    }

    @Test
    fun `the limits of all hosts together never exceed the slots`(): Unit = runBlocking {
        checkAll(PropTestConfig(seed = 20_261_204, iterations = 200), Arb.int()) { seed ->
            val fleet = SimulatedFleet(Random(seed))
            repeat(STEPS) {
                fleet.step()
                expectThat(fleet.sumOfLimits()).isLessThanOrEqualTo(SimulatedFleet.SLOTS)
            }
        }
    }

    @Test
    fun `hosts with a stable membership and no loans may use all slots`() {
        val fleet = SimulatedFleet(Random(1), hasChanges = false, hasLoans = false)
        repeat(STEPS) { fleet.step() }
        expectThat(fleet.sumOfLimits()).isEqualTo(SimulatedFleet.SLOTS)
    }

    @Test
    fun `hosts may use most slots despite loans and membership changes`() {
        val calm =
            meanOfLimits(SimulatedFleet(Random(2), hasChanges = false, network = Network.GOOD))
        val changing = meanOfLimits(SimulatedFleet(Random(2), network = Network.GOOD))
        expectThat(calm).isGreaterThan(0.85 * SimulatedFleet.SLOTS)
        expectThat(changing).isGreaterThan(0.6 * SimulatedFleet.SLOTS)
    }

    /** Returns the mean sum of the limits after the start-up phase. */
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

/** The faults of the network between hosts, and how often a host requests a loan. */
private data class Network(
    val lossPercent: Int,
    val maxDelayMillis: Long,
    val stepsPerRequest: Int
) {
    companion object {
        val GOOD = Network(lossPercent = 0, maxDelayMillis = 20, stepsPerRequest = 20)
        val BAD = Network(lossPercent = 20, maxDelayMillis = 400, stepsPerRequest = 4)
    }
}

/** Hosts that start, crash and pause at random, with delayed views and lost messages. */
private class SimulatedFleet(
    private val random: Random,
    private val hasChanges: Boolean = true,
    private val hasLoans: Boolean = true,
    private val network: Network = Network.BAD
) {
    private class Host(val name: String, var ledger: SlotLedger) {
        var isAlive = true
        var pausedUntilMillis = 0L
        var changedMillis = 0L
    }

    private class Message(val atMillis: Long, val deliver: () -> Unit)

    private val hosts = (1..HOSTS).map { Host("entry-$it", SlotLedger("entry-$it")) }
    private val messages = mutableListOf<Message>()
    private var now = 0L

    fun step() {
        now += STEP_MILLIS
        if (hasChanges) changeMembership()
        messages.filter { it.atMillis <= now }.also { messages -= it.toSet() }
            .forEach { it.deliver() }
        runningHosts().forEach { host ->
            host.ledger.observe(viewOf(host), now)
            if (hasLoans && random.nextInt(network.stepsPerRequest) == 0) requestLoan(host)
        }
    }

    fun sumOfLimits() = runningHosts().sumOf { it.ledger.limit(INSTANCE, SLOTS, now) }

    private fun runningHosts() = hosts.filter { it.isAlive && it.pausedUntilMillis <= now }

    private fun changeMembership() {
        val host = hosts.random(random)
        when (random.nextInt(120)) {
            0 -> if (host.isAlive) setAlive(host, isAlive = false)
            1 -> if (!host.isAlive && now - host.changedMillis > 2 * LAG_MILLIS) restart(host)
            2 -> host.pausedUntilMillis = now + random.nextLong(10_000)
        }
    }

    private fun restart(host: Host) {
        host.ledger = SlotLedger(host.name, firstRound = now * 1_000)
        setAlive(host, isAlive = true)
    }

    private fun setAlive(host: Host, isAlive: Boolean) {
        host.isAlive = isAlive
        host.changedMillis = now
    }

    /** Returns the view of [viewer]: the others' states, delayed by up to [LAG_MILLIS]. */
    private fun viewOf(viewer: Host): Map<String, MemberState> =
        (hosts - viewer).associate { host ->
            val lag = random.nextLong(LAG_MILLIS)
            val appearsAlive = if (now - host.changedMillis >= lag) host.isAlive else !host.isAlive
            host.name to if (appearsAlive) LIVE else GONE
        }

    private fun requestLoan(borrower: Host) {
        val lender = (hosts - borrower).random(random)
        val ledger = borrower.ledger
        val inUse = mapOf(INSTANCE to random.nextInt(3))
        val round = ledger.requestLoan(lender.name, inUse, random.nextInt(3), now)
        send { answer(lender, borrower, ledger, round) }
    }

    private fun answer(lender: Host, borrower: Host, requester: SlotLedger, round: LoanRequest) {
        if (!lender.isAlive || lender.pausedUntilMillis > now) return
        val limit = lender.ledger.share(INSTANCE, SLOTS, now)
        val free = lender.ledger.limit(INSTANCE, SLOTS, now) -
            lender.ledger.borrowed(INSTANCE, now)
        val spare = mapOf(INSTANCE to minOf(limit, free).coerceAtLeast(0))
        val lent = lender.ledger.lend(borrower.name, round, spare, mapOf(INSTANCE to SLOTS), now)
        if (lent != null) send { requester.recordGrant(lender.name, round.number, lent) }
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
