package sycamoremast.coordination.membership

import kotlin.random.Random
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

class MemberTableTest {
    private val timeouts = MemberTimeouts()
    private val suspectAfter = timeouts.suspectAfter.inWholeMilliseconds
    private val goneAfter = timeouts.goneAfter.inWholeMilliseconds
    private val table = MemberTable("self", timeouts)
    private val peer = HostProcess("b1", "b", "127.0.0.1:7", 100)

    private fun state() = table.members().singleOrNull()?.state

    @Test
    fun `every state of the chart can be reached and left`() {
        expectThat(MemberTable.CHART.unreachable()).isEmpty()
        expectThat(MemberTable.CHART.deadEnds()).isEmpty()
    }

    @Test
    fun `a silent host is suspect and becomes live when a message arrives`() {
        table.recordMessage(peer, 0)
        table.tick(suspectAfter - 1)
        expectThat(state()).isEqualTo(MemberState.LIVE)
        table.tick(suspectAfter)
        expectThat(state()).isEqualTo(MemberState.SUSPECT)
        table.recordMessage(peer, suspectAfter + 1)
        expectThat(state()).isEqualTo(MemberState.LIVE)
    }

    @Test
    fun `a silent host is gone only after its registration has lapsed`() {
        table.recordMessage(peer, 0)
        table.tick(goneAfter * 100)
        expectThat(state()).describedAs("registration unknown").isEqualTo(MemberState.SUSPECT)
        table.recordListing(listOf(peer), goneAfter * 100)
        table.tick(goneAfter * 200)
        expectThat(state()).describedAs("still registered").isEqualTo(MemberState.SUSPECT)
        table.recordListing(emptyList(), goneAfter * 200)
        table.tick(goneAfter * 200)
        expectThat(state()).isEqualTo(MemberState.GONE)
    }

    @Test
    fun `a host that sends messages stays live although its registration has lapsed`() {
        for (second in 0..60) {
            table.recordMessage(peer, second * 1_000L)
            table.recordListing(emptyList(), second * 1_000L)
            table.tick(second * 1_000L)
            expectThat(state()).isEqualTo(MemberState.LIVE)
        }
    }

    @Test
    fun `a host that returns under its old address replaces its former incarnation`() {
        table.recordMessage(peer, 0)
        val returned = peer.copy(incarnation = 101)
        expectThat(table.recordMessage(returned, 10)).isTrue()
        expectThat(table.recordMessage(peer, 20)).isFalse()
        table.recordDeparture(peer.host, peer.incarnation, 30)
        table.recordListing(listOf(peer), 40)
        val member = table.members().single()
        expectThat(member.process).isEqualTo(returned)
        expectThat(member.state).isEqualTo(MemberState.LIVE)
        expectThat(member.isRegistered).isEqualTo(false)
    }

    @Test
    fun `a departed host is gone at once and removed after the timeout`() {
        table.recordMessage(peer, 0)
        table.recordDeparture(peer.host, peer.incarnation, 1)
        expectThat(state()).isEqualTo(MemberState.GONE)
        table.tick(timeouts.removeAfter.inWholeMilliseconds + 1)
        expectThat(table.members()).isEmpty()
    }

    @Test
    fun `the registration of the host itself is not listed`() {
        table.recordListing(listOf(peer.copy(host = "self")), 0)
        expectThat(table.members()).isEmpty()
    }

    @Test
    fun `a host that sent a message recently is never gone in any order of events`() {
        for (seed in 1..300) {
            val random = Random(seed)
            val seeded = MemberTable("self", timeouts)
            var now = 0L
            var incarnation = 1L
            var heardAt: Long? = null
            repeat(200) {
                now += random.nextLong(2_000)
                val process = peer.copy(incarnation = incarnation)
                when (random.nextInt(5)) {
                    0 -> {
                        seeded.recordMessage(process, now)
                        heardAt = now
                    }

                    1 -> seeded.recordListing(listOf(process), now)

                    2 -> seeded.recordListing(emptyList(), now)

                    3 -> seeded.recordMessage(peer.copy(incarnation = incarnation - 1), now)

                    4 -> if (random.nextInt(10) == 0) incarnation++
                }
                seeded.tick(now)
                val sinceHeard = heardAt?.let { now - it } ?: Long.MAX_VALUE
                if (sinceHeard < suspectAfter) {
                    expectThat(seeded.members().single().state).describedAs("seed $seed at $now")
                        .isNotEqualTo(MemberState.GONE)
                }
            }
        }
    }
}
