package sycamoremast.daemon.control

import java.net.BindException
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.netcrusher.core.reactor.NioReactor
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import sycamoremast.standins.KeyValueFaults
import sycamoremast.standins.KeyValueServer

class ControlPartitionTest {
    private val service = KeyValueServer.start()
    private val reactor = NioReactor()
    private val proxies = mutableMapOf<String, PeerProxy>()
    private val nodes = mutableMapOf<String, ControlNode>()

    @AfterEach
    fun close() {
        proxies.values.forEach { it.heal() }
        nodes.values.forEach { it.close() }
        proxies.values.forEach { it.close() }
        reactor.close()
        service.close()
    }

    private fun startAll(vararg hosts: String) {
        hosts.forEach(::start)
        eventually("all are live") { nodes.values.all { it.liveCount() == hosts.size } }
    }

    /** Starts [host], with another port if a process of the machine has taken the one that was free. */
    private fun start(host: String) {
        val proxy = PeerProxy(reactor)
        try {
            nodes[host] = ControlNode(
                host,
                host.take(1),
                "127.0.0.1:${service.port}",
                bindPort = proxy.port,
                advertised = proxy.address
            ).start()
            proxies[host] = proxy
        } catch (_: BindException) {
            proxy.close()
            start(host)
        }
    }

    private fun node(host: String) = nodes.getValue(host)

    private fun proxy(host: String) = proxies.getValue(host)

    private fun ControlNode.liveCount() = states().values.count { it == MemberState.LIVE }

    private fun ControlNode.submit(from: Long) =
        replica.submit("nets", from, configurationText("nets", 1_000 + from), "ilze")

    private fun expectNotGone(vararg hosts: String) = hosts.forEach { host ->
        nodes.values.forEach { expectThat(it.states()[host]).isNotEqualTo(MemberState.GONE) }
    }

    @Test
    fun `host that receives but cannot send is suspect until the partition heals`() {
        startAll("a1", "b1", "c1")
        proxy("a1").discardsFromHost = true
        listOf("b1", "c1").forEach { proxy(it).discardsToHost = true }
        eventually("suspect on both") {
            listOf("b1", "c1").all { node(it).states()["a1"] == MemberState.SUSPECT }
        }
        expectNotGone("a1")
        node("b1").submit(0)
        eventually("in force on the host that is cut off from its peers") {
            node("a1").revision("nets") == 1L
        }
        proxies.values.forEach { it.heal() }
        eventually("live again") { nodes.values.all { it.liveCount() == 3 } }
    }

    // Proves: in-force | cut-one-way | configuration-relayed
    @Test
    fun `unreachable hosts are unconfirmed and catch up when the partition heals`() {
        startAll("a1", "a2", "b1")
        proxies.values.forEach { it.cut() }
        eventually("a1 is alone") { node("a1").liveCount() == 1 }
        service.freezeWatches()
        node("a1").submit(0)
        val confirmed = node("a1").replica.confirmations("nets", 1, 1_000)
        expectThat(confirmed.inForce).containsExactlyInAnyOrder("a1")
        expectThat(confirmed.unconfirmed).containsExactlyInAnyOrder("a2", "b1")
        proxies.values.forEach { it.heal() }
        eventually("all have caught up") { nodes.values.all { it.revision("nets") == 1L } }
    }

    @Test
    fun `host that can only dial out is never gone`() {
        startAll("a1", "b1", "c1")
        proxy("c1").cut()
        val end = System.nanoTime() + 2 * quickTimes.members.goneAfter.inWholeNanoseconds
        while (System.nanoTime() < end) {
            expectNotGone("c1")
            Thread.sleep(100)
        }
        eventually("live again by dialling out") { nodes.values.all { it.liveCount() == 3 } }
    }

    // Proves: in-force | cut-both-ways | configuration-relayed
    @Test
    fun `host partitioned from the relay of its zone becomes a relay itself`() {
        startAll("a1", "a2")
        val accepting = ControlNode("c1", "c", "127.0.0.1:${service.port}")
        nodes["c1"] = accepting
        eventually("one of them is the relay") {
            nodes.values.count { it.replica.isRelay } == 1
        }
        accepting.submit(0)
        eventually("in force through the relay") {
            listOf("a1", "a2").all { node(it).revision("nets") == 1L }
        }
        proxies.values.forEach { it.cut() }
        eventually("each is alone") { nodes.values.all { it.liveCount() == 1 } }
        accepting.submit(1)
        eventually("in force on both") {
            listOf("a1", "a2").all { node(it).revision("nets") == 2L }
        }
        eventually("both are relays") { listOf("a1", "a2").all { node(it).replica.isRelay } }
        proxies.values.forEach { it.heal() }
        eventually("only one is a relay again") { nodes.values.count { it.replica.isRelay } == 1 }
    }

    // Proves: in-force | cut-both-ways | configuration-applied
    @Test
    fun `hosts without service and peers keep their revision and recover when both return`() {
        startAll("a1", "a2", "b1", "c1")
        node("a1").submit(0)
        node("a1").submit(1)
        eventually("in force") { nodes.values.all { it.revision("nets") == 2L } }
        service.setFaults(KeyValueFaults(down = true))
        proxies.values.forEach { it.cut() }
        eventually("each is alone") { nodes.values.all { it.liveCount() == 1 } }
        expectNotGone("a1", "a2", "b1", "c1")
        for (node in nodes.values) {
            expectThat(node.revision("nets")).isEqualTo(2)
            expectThat(node.replica.notReadyBecause()).isEmpty()
        }
        proxies.values.forEach { it.heal() }
        service.setFaults(KeyValueFaults())
        val before = service.calls().values.sum()
        eventually("all are live") { nodes.values.all { it.liveCount() == 4 } }
        val submitted = node("c1").submit(2)
        expectThat(submitted).isEqualTo(SubmitOutcome.Accepted(3, true))
        eventually("in force") { nodes.values.all { it.revision("nets") == 3L } }
        expectThat(service.calls().values.sum() - before).isLessThan(MAX_HEALING_CALLS)
    }

    private companion object {
        /** Ten calls per second by each of four hosts, over the longest wait of 20 s. */
        const val MAX_HEALING_CALLS = 800L
    }
}
