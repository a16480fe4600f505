package sycamoremast.daemon.workflow

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.net.ServerSocket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import sycamoremast.configuration.Endpoint
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.daemon.control.eventually
import sycamoremast.daemon.control.quickLimits
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.KtorPeerNetwork
import sycamoremast.daemon.peer.LocalPeer

class PeeringTest {
    private val started = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = started.forEach { it.close() }

    private fun peer(host: String, incarnation: Long = 1) = KtorPeerNetwork.create(
        LocalPeer(host, "zone", "127.0.0.1", 0),
        IncarnationClaim(incarnation),
        SimpleMeterRegistry(),
        quickLimits
    ).also {
        started += it
        it.start()
    }

    private fun hosting(name: String): String {
        val port = ServerSocket(0).use { it.localPort }
        val peers = WorkflowPeers("zone", Endpoint("127.0.0.1", port), 1.0)
        val peering = Peering(name, peers, MemoryStore(), NoWorkers, EventLog { }, WorkflowMeters())
        started += peering
        peering.start()
        return peers.address.toString()
    }

    // Guards against a host that its peers turn away for good after a restart on an earlier clock.
    @Test
    fun `a host that restarts with its clock set back is taken in by peers that knew it before`() {
        val knowing = peer("knowing")
        val earlier = peer("host", System.currentTimeMillis() + CLOCK_STEP_MILLIS)
        earlier.dial(setOf(knowing.address))
        eventually("the earlier process is known") { knowing.isConnectedTo("host") }
        earlier.close()
        eventually("the earlier process is gone") { !knowing.isConnectedTo("host") }
        val address = hosting("host")
        val unknowing = peer("unknowing")
        unknowing.dial(setOf(address))
        eventually("the host has a first peer") { unknowing.isConnectedTo("host") }
        Thread.sleep(FIRST_FRAMES_MILLIS)
        knowing.dial(setOf(address))
        eventually("the host is taken in") { knowing.isConnectedTo("host") }
    }

    private fun KtorPeerNetwork.isConnectedTo(host: String) = connected().any { it.host == host }

    private companion object {
        /** Much further than any test takes. */
        const val CLOCK_STEP_MILLIS = 1_000_000L

        /** The first peer's frames arrive within this. */
        const val FIRST_FRAMES_MILLIS = 300L
    }
}

/** Workers that get no orders here. */
private object NoWorkers : RunPort {
    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) = none()

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = none()

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) = none()

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = none()

    private fun none(): Nothing = error("an order without an owner")
}
