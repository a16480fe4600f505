/** Probes of the messages between entry hosts, over TCP connections within this process. */
package sycamoremast.bench.capacity

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.lang.management.ManagementFactory
import java.util.concurrent.atomic.AtomicLong
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.daemon.peer.Heartbeat
import sycamoremast.daemon.peer.LocalPeer
import sycamoremast.daemon.peer.TcpPeerNetwork

private const val ROLE = "membership"
private const val MEASURED_ROUNDS = 500
private const val WARM_UP_ROUNDS = 1_000
private const val TIMEOUT_MILLIS = 20_000L
private const val POLL_MILLIS = 1L
private const val NANOS_PER_MICRO = 1000.0
private val PEERS = listOf(2, 5, 11, 22)

internal fun peerProbes(): List<Probe> = listOf(
    Probe(ROLE, "heartbeat round", "bytes sent", "other hosts", PEERS) { peers, _ ->
        PeerGroup(peers).use { it.measure().bytes }
    },
    Probe(ROLE, "heartbeat round", "CPU us, both ends", "other hosts", PEERS) { peers, _ ->
        PeerGroup(peers).use { it.measure().cpuMicros }
    },
    Probe(ROLE, "connections", "heap bytes, both ends", "other hosts", PEERS) { peers, _ ->
        var group: PeerGroup? = null
        val bytes = retainedBytes { PeerGroup(peers).also { group = it } }
        group?.close()
        bytes
    }
)

/** The cost of one round of heartbeats from one host to all others. */
private data class RoundCost(val bytes: Double, val cpuMicros: Double)

/** One sending host with connections to [others] receiving hosts. */
private class PeerGroup(others: Int) : AutoCloseable {
    private val registry = SimpleMeterRegistry()
    private val received = AtomicLong()
    private val sender = network("entry-0", registry)
    private val receivers = List(others) { network("entry-${it + 1}", SimpleMeterRegistry()) }

    init {
        receivers.forEach { receiver ->
            receiver.handle(Heartbeat::class) { _, _ -> null.also { received.incrementAndGet() } }
        }
        sender.dial(receivers.map { it.address }.toSet())
        await { sender.connected().size == others }
    }

    /** Returns the average cost of a heartbeat round, after unmeasured warm-up rounds. */
    fun measure(): RoundCost {
        send(WARM_UP_ROUNDS)
        val bytes = sentBytes()
        val cpu = processCpuMicros()
        send(MEASURED_ROUNDS)
        return RoundCost(
            (sentBytes() - bytes) / MEASURED_ROUNDS,
            (processCpuMicros() - cpu) / MEASURED_ROUNDS
        )
    }

    override fun close() {
        sender.close()
        receivers.forEach { it.close() }
    }

    private fun send(rounds: Int) {
        val expected = received.get() + rounds * receivers.size
        repeat(rounds) { round ->
            val beat = Heartbeat(System.currentTimeMillis(), round.toLong().inv(), synced = true)
            sender.connected().forEach { check(sender.send(it.host, beat)) { "not queued" } }
            if (round % ROUNDS_PER_PAUSE == 0) Thread.sleep(POLL_MILLIS)
        }
        await { received.get() >= expected }
    }

    private fun sentBytes() = registry.counter("sycamoremast.peers.sent.bytes").count()

    private fun network(host: String, registry: SimpleMeterRegistry): TcpPeerNetwork {
        val local = LocalPeer(host, "sigulda", "127.0.0.1", 0)
        val network = TcpPeerNetwork.create(local, IncarnationClaim(1), registry)
        return network.also { it.start() }
    }

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + TIMEOUT_MILLIS * NANOS_PER_MILLI
        while (!condition()) {
            check(System.nanoTime() < end) { "timed out after $TIMEOUT_MILLIS ms" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private companion object {
        /** Sending pauses after this many rounds, which bounds the send queues. */
        const val ROUNDS_PER_PAUSE = 10
        const val NANOS_PER_MILLI = 1_000_000
    }
}

private fun processCpuMicros(): Double {
    val system = ManagementFactory.getOperatingSystemMXBean()
    return (system as com.sun.management.OperatingSystemMXBean).processCpuTime / NANOS_PER_MICRO
}
