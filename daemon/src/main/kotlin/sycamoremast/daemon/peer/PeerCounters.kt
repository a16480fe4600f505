/** Metrics of the connections between entry hosts. */
package sycamoremast.daemon.peer

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** Registers metrics in [registry] under names that start with `sycamoremast.peers`. */
internal class PeerCounters(private val registry: MeterRegistry) {
    private val sentBytes = registry.counter("sycamoremast.peers.sent.bytes")
    private val sentMessages = registry.counter("sycamoremast.peers.sent.messages")
    private val receivedBytes = registry.counter("sycamoremast.peers.received.bytes")
    private val refusedSends = registry.counter("sycamoremast.peers.sends.refused")

    fun countSent(bytes: Int) {
        sentBytes.increment(bytes.toDouble())
        sentMessages.increment()
    }

    fun countReceived(bytes: Int) = receivedBytes.increment(bytes.toDouble())

    fun countRefusedSend() = refusedSends.increment()

    /** Counts a dropped peer by the [kind] of violation, such as malformed or oversized. */
    fun countDropped(kind: String) = registry.counter("sycamoremast.peers.dropped", "kind", kind)
        .increment()

    fun countUnknownMessage() = registry.counter("sycamoremast.peers.unknown.messages").increment()

    fun registerConnectionGauge(count: () -> Int) {
        Gauge.builder("sycamoremast.peers.connections") { count() }
            .strongReference(true)
            .register(registry)
    }
}
