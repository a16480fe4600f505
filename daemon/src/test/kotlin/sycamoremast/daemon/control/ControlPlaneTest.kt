package sycamoremast.daemon.control

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import sycamoremast.standins.KeyValueServer

class ControlPlaneTest {
    private val service = KeyValueServer.start()
    private val nodes = mutableListOf<ControlNode>()

    @AfterEach
    fun close() {
        nodes.forEach { it.close() }
        service.close()
    }

    private fun node(host: String, zone: String, seeds: Set<String> = emptySet()) =
        ControlNode(host, zone, "127.0.0.1:${service.port}", seeds).also { nodes += it.start() }

    // Proves: in-force | none | configuration-applied
    @Test
    fun `accepted configuration comes into force on every host and is confirmed by each`() {
        val a = node("a1", "a")
        node("a2", "a")
        node("b1", "b")
        eventually("all hosts are live on each") {
            nodes.all { node -> node.states().values.count { it == MemberState.LIVE } == 3 }
        }
        expectThat(a.replica.submit("nets", 0, configurationText("nets"), "ilze"))
            .isEqualTo(SubmitOutcome.Accepted(1, true))
        val confirmed = a.replica.confirmations("nets", 1, 10_000)
        expectThat(confirmed.inForce).containsExactlyInAnyOrder("a1", "a2", "b1")
        expectThat(confirmed.unconfirmed).isEmpty()
        expectThat(a.replica.notReadyBecause()).isEmpty()
        eventually("the change is audited") {
            a.audit.list(10, emptyList()).getOrNull().orEmpty().any { it.toRevision == 1L }
        }
    }

    @Test
    fun `confirmations lists a host that does not answer as unconfirmed`() {
        val a = node("a1", "a")
        val b = node("b1", "b")
        eventually("both are live") { a.states()["b1"] == MemberState.LIVE }
        a.replica.submit("nets", 0, configurationText("nets"), "ilze")
        b.kill()
        nodes -= b
        val confirmed = a.replica.confirmations("nets", 1, 500)
        expectThat(confirmed.unconfirmed).contains("b1")
        expectThat(confirmed.inForce).contains("a1")
    }

    @Test
    fun `submit returns the other change when it loses the race`() {
        val a = node("a1", "a")
        val b = node("b1", "b")
        a.replica.submit("nets", 0, configurationText("nets", 2_000), "ilze")
        val lost = b.replica.submit("nets", 0, configurationText("nets", 3_000), "ousmane")
        expectThat(lost).isA<SubmitOutcome.LostRace>().and {
            get { current?.operator }.isEqualTo("ilze")
            get { current?.revision }.isEqualTo(1)
        }
    }
}
