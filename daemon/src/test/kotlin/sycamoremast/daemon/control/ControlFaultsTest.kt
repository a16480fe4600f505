package sycamoremast.daemon.control

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.hours
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.single
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.store.StoredDocument
import sycamoremast.standins.KeyValueFaults
import sycamoremast.standins.KeyValueServer

class ControlFaultsTest {
    private val service = KeyValueServer.start()
    private val nodes = mutableListOf<ControlNode>()

    @AfterEach
    fun close() {
        service.setFaults(KeyValueFaults())
        nodes.forEach { it.close() }
        service.close()
    }

    private fun node(host: String, zone: String = host.take(1), seeds: Set<String> = emptySet()) =
        ControlNode(host, zone, "127.0.0.1:${service.port}", seeds).also { nodes += it }

    private fun ControlNode.submit(from: Long, milliCpus: Long, operator: String = "ilze") =
        replica.submit("nets", from, configurationText("nets", milliCpus), operator)

    private fun ControlNode.killAndRemove() = also {
        it.kill()
        nodes -= it
    }

    // Proves: in-force | answer-lost | configuration-written
    @Test
    fun `submit returns accepted when the answer to its write is lost`() {
        val a = node("a1")
        service.setFaults(KeyValueFaults(dropAnswers = 1))
        expectThat(a.submit(0, 1_000)).isEqualTo(SubmitOutcome.Accepted(1, true))
        service.setFaults(KeyValueFaults(dropAnswers = 3))
        expectThat(a.submit(1, 2_000)).isEqualTo(SubmitOutcome.Accepted(2, true))
        expectThat(a.replica.document("nets")?.revision).isEqualTo(2)
    }

    // Proves: in-force | store-down | configuration-submitted
    @Test
    fun `submit fails during an outage and succeeds when repeated after it`() {
        val a = node("a1")
        service.setFaults(KeyValueFaults(down = true))
        expectThat(a.submit(0, 1_000)).isA<SubmitOutcome.Failed>()
        expectThat(a.replica.document("nets")).isEqualTo(null)
        service.setFaults(KeyValueFaults())
        expectThat(a.submit(0, 1_000)).isEqualTo(SubmitOutcome.Accepted(1, true))
        expectThat(node("b1").submit(0, 1_000)).isEqualTo(SubmitOutcome.Accepted(1, true))
    }

    // Proves: in-force | operator-race | configuration-submitted
    // Proves: in-force | operator-race | configuration-written
    @Test
    fun `accepts one of several concurrent changes and names the winner to the others`() {
        val racers = listOf(node("a1"), node("a2"), node("b1"))
        val pool = Executors.newFixedThreadPool(12)
        val outcomes = (0 until 12).map { number ->
            pool.submit(
                Callable {
                    "op$number" to
                        racers[number % 3].submit(0, 1_000L + number, "op$number")
                }
            )
        }.map { it.get() }
        pool.shutdown()
        val (accepted, others) = outcomes.partition { it.second is SubmitOutcome.Accepted }
        val winner = accepted.single().first
        for ((_, outcome) in others) {
            expectThat(outcome).isA<SubmitOutcome.LostRace>()
                .get { current?.operator }.isEqualTo(winner)
        }
    }

    // Proves: in-force | kill | configuration-relayed
    @Test
    fun `another host becomes the relay when the relay is killed`() {
        val a1 = node("a1").start()
        eventually("a1 is the relay") { a1.relaysBegun() == 1.0 }
        val a2 = node("a2").start()
        val b1 = node("b1").start()
        eventually("all are live") { b1.states().values.count { it == MemberState.LIVE } == 3 }
        expectThat(a2.relaysBegun()).isEqualTo(0.0)
        a1.killAndRemove()
        eventually("a2 is the relay") { a2.relaysBegun() == 1.0 }
        b1.submit(0, 1_000)
        eventually("in force on a2") { a2.revision("nets") == 1L }
    }

    @Test
    fun `relay pushes the changes that it accepted itself to the hosts of its zone`() {
        val times = quickRelay.copy(catchUpDelay = 1.hours, rereadInterval = 1.hours)
        val zone = listOf("a1", "a2").map {
            ControlNode(it, "a", "127.0.0.1:${service.port}", relayTimes = times).start()
        }
        nodes += zone
        eventually("one of two live hosts is the relay") {
            zone.all { it.states().size == 2 } && zone.count { it.replica.isRelay } == 1
        }
        val relay = zone.single { it.replica.isRelay }
        for (revision in 1L..20L) {
            relay.submit(revision - 1, 1_000 + revision)
            eventually("in force on both") { zone.all { it.revision("nets") == revision } }
        }
    }

    // Proves: in-force | freeze | configuration-relayed
    @Test
    fun `change comes into force while watches are frozen`() {
        val all = listOf("a1", "a2", "b1").map { node(it).start() }
        eventually("all are live") {
            all.all { node -> node.states().values.count { it == MemberState.LIVE } == 3 }
        }
        service.freezeWatches()
        all[2].submit(0, 1_000)
        eventually("in force everywhere") { all.all { it.revision("nets") == 1L } }
    }

    // Proves: in-force | kill | configuration-applied
    @Test
    fun `change comes into force when watches are frozen and the accepting host is killed`() {
        val all = listOf("a1", "b1").map { node(it).start() }
        eventually("both watch") { all.all { it.relaysBegun() == 1.0 } }
        service.freezeWatches()
        val accepting = node("c1")
        accepting.submit(0, 1_000)
        accepting.killAndRemove()
        eventually("in force") { all.all { it.revision("nets") == 1L } }
    }

    // Proves: in-force | store-down | configuration-applied
    @Test
    fun `host started during an outage takes the configuration from its peers`() {
        val a1 = node("a1").start()
        a1.submit(0, 1_000)
        a1.submit(1, 2_000)
        eventually("a1 is ready") { a1.replica.notReadyBecause().isEmpty() }
        service.setFaults(KeyValueFaults(down = true))
        val a2 = node("a2", seeds = setOf(a1.network.address)).start()
        eventually("a2 is ready") { a2.replica.notReadyBecause().isEmpty() }
        expectThat(a2.revision("nets")).isEqualTo(2)
    }

    @Test
    fun `host started during an outage without peers is not ready and reports the reason`() {
        service.setFaults(KeyValueFaults(down = true))
        val a1 = node("a1").start()
        eventually("read failed") { "key-value" in a1.replica.notReadyBecause().joinToString() }
        expectThat(a1.replica.notReadyBecause()).single().contains("127.0.0.1:${service.port}")
        service.setFaults(KeyValueFaults())
        eventually("it is ready") { a1.replica.notReadyBecause().isEmpty() }
    }

    @Test
    fun `host keeps the last readable revision when a newer version writes an unreadable one`() {
        val a1 = node("a1").start()
        val a2 = node("a2").start()
        a1.submit(0, 1_000)
        eventually("in force") { a2.revision("nets") == 1L }
        val key = ControlKeys.configuration("nets")
        val entry = a1.context.store.get(key).getOrNull() ?: error("no document")
        val body = """{"team":"nets","revision":2,"schema":99}"""
        val newer = StoredDocument.parse(entry.value).copy(body = body).print()
        a1.context.store.compareAndSwap(key, entry.version, newer)
        eventually("both report it as unreadable") {
            listOf(a1, a2).all { it.replica.unreadableTeams() == setOf("nets") }
        }
        for (node in listOf(a1, a2)) {
            expectThat(node.revision("nets")).isEqualTo(1)
            expectThat(node.replica.notReadyBecause()).isEmpty()
        }
        expectThat(a1.submit(2, 3_000)).isA<SubmitOutcome.Failed>()
            .get { outcomeUnknown }.isFalse()
        expectThat(a1.context.store.get(key).getOrNull()?.value).isEqualTo(newer)
    }

    @Test
    fun `host restarted with its clock set back raises its incarnation`() {
        val former = ControlNode("a1", "a", "127.0.0.1:${service.port}", incarnation = 9_000)
        former.start()
        val b1 = node("b1").start()
        eventually("b1 sees it") { b1.states()["a1"] == MemberState.LIVE }
        former.kill()
        val restarted = ControlNode("a1", "a", "127.0.0.1:${service.port}", incarnation = 50)
        nodes += restarted.start()
        eventually("b1 sees the new incarnation") {
            b1.membership.members().any {
                it.host == "a1" && it.incarnation == 9_001L && it.state == MemberState.LIVE
            }
        }
        expectThat(restarted.membership.notReadyBecause()).isEmpty()
    }

    @Test
    fun `problem is raised once and stays open when the host that raised it is killed`() {
        val a1 = node("a1").start()
        val b1 = node("b1").start()
        repeat(3) { a1.problems.raise(ProblemKind.LATE, "nets/anchor", "due 07:00, still running") }
        eventually("b1 lists it") { b1.problems.list().isNotEmpty() }
        b1.problems.raise(ProblemKind.LATE, "nets/anchor", "seen here too")
        a1.killAndRemove()
        eventually("b1's report is written") { b1.problems.pendingChangeCount == 0 }
        expectThat(b1.problems.list()).single().and {
            get { raisedBy }.isEqualTo("a1")
            get { clearedAtMillis }.isEqualTo(null)
        }
        b1.problems.clear(ProblemKind.LATE, "nets/anchor")
        eventually("it is cleared") { b1.problems.list().single().clearedAtMillis != null }
    }

    @Test
    fun `problems and audited changes recorded during an outage are written after it`() {
        val a1 = node("a1").start()
        val b1 = node("b1").start()
        eventually("ready") { a1.replica.isSynced && b1.replica.isSynced }
        service.setFaults(KeyValueFaults(down = true))
        a1.problems.raise(ProblemKind.LOST, "nets/review", "no result after 2 h")
        a1.audit.record(AuditedChange("ilze", "drain", "a1", 0, 0))
        service.setFaults(KeyValueFaults())
        eventually("the problem is listed") {
            b1.problems.list().any { it.subject == "nets/review" }
        }
        eventually("the change is audited") {
            b1.audit.list(10, emptyList()).getOrNull().orEmpty().any { it.action == "drain" }
        }
    }

    @Test
    fun `change is audited although the accepting host was killed before recording it`() {
        val a1 = node("a1")
        val b1 = node("b1").start()
        a1.submit(0, 1_000, "ousmane")
        a1.killAndRemove()
        eventually("in force on b1") { b1.revision("nets") == 1L }
        val listed = b1.audit.list(10, b1.replica.documents()).getOrNull().orEmpty()
        expectThat(listed).any { get { operator }.isEqualTo("ousmane") }
    }

    @Test
    fun `silent host is suspect and not gone while it is registered`() {
        val a1 = node("a1").start()
        val b1 = node("b1").start()
        eventually("live") { a1.states()["b1"] == MemberState.LIVE }
        b1.network.close()
        eventually("suspect") { a1.states()["b1"] == MemberState.SUSPECT }
        val goneAfter = quickTimes.members.goneAfter.inWholeMilliseconds
        val end = System.nanoTime() + 2 * goneAfter * 1_000_000
        while (System.nanoTime() < end) {
            expectThat(a1.states()["b1"]).isEqualTo(MemberState.SUSPECT)
            Thread.sleep(100)
        }
        b1.membership.close()
        eventually("gone") { a1.states()["b1"] == MemberState.GONE }
    }

    @Test
    fun `hosts register again when all leases expire at once`() {
        val a1 = node("a1").start()
        val b1 = node("b1").start()
        val key = ControlKeys.host("a1")
        eventually("registered") { a1.context.store.get(key).getOrNull() is StoreEntry }
        service.setFaults(KeyValueFaults(expireLeases = true))
        eventually("registered again") { a1.context.store.get(key).getOrNull() is StoreEntry }
        expectThat(b1.states()["a1"] != MemberState.GONE).isTrue()
    }
}
