/** What is counted of the connections between entry hosts. */
package sycamoremast.daemon.peer

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** Counts in [registry], under names that start with `sycamoremast.peers`. */
internal class PeerCounters(private val registry: MeterRegistry) {
    private val sentBytes = registry.counter("sycamoremast.peers.sent.bytes")
    private val sentMessages = registry.counter("sycamoremast.peers.sent.messages")
    private val receivedBytes = registry.counter("sycamoremast.peers.received.bytes")
    private val refusedSends = registry.counter("sycamoremast.peers.sends.refused")

    fun sent(bytes: Int) {
        sentBytes.increment(bytes.toDouble())
        sentMessages.increment()
    }

    fun received(bytes: Int) = receivedBytes.increment(bytes.toDouble())

    fun refusedSend() = refusedSends.increment()

    /** Counts a peer that was dropped because it was [kind], such as malformed or oversized. */
    fun dropped(kind: String) = registry.counter("sycamoremast.peers.dropped", "kind", kind)
        .increment()

    fun unknownType() = registry.counter("sycamoremast.peers.unknown.messages").increment()

    fun watchConnections(count: () -> Int) {
        Gauge.builder("sycamoremast.peers.connections") { count() }
            .strongReference(true)
            .register(registry)
    }
}
