package sycamoremast.daemon.workflow

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.net.ServerSocket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import sycamoremast.configuration.Endpoint
import sycamoremast.coordination.membership.IncarnationClaim
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.PaceOrder
import sycamoremast.coordination.workflow.PollOrder
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.StopOrder
import sycamoremast.coordination.workflow.WorkerAnswer
import sycamoremast.daemon.control.eventually
import sycamoremast.daemon.control.quickLimits
import sycamoremast.daemon.log.EventLog
import sycamoremast.daemon.peer.LocalPeer
import sycamoremast.daemon.peer.TcpPeerNetwork

class PeeringTest {
    private val started = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = started.forEach { it.close() }

    private fun peer(host: String, incarnation: Long = 1) = TcpPeerNetwork.create(
        LocalPeer(host, "zone", "127.0.0.1", 0),
        IncarnationClaim(incarnation),
        SimpleMeterRegistry(),
        quickLimits
    ).also {
        started += it
        it.start()
    }

    private fun startPeering(name: String): String {
        val peers = WorkflowPeers("zone", freeEndpoint(), 1.0)
        startPeering(name, peers, MemoryStore())
        return peers.address.toString()
    }

    private fun startPeering(name: String, peers: WorkflowPeers, store: MemoryStore) {
        val peering =
            Peering(HostProcess(name), peers, store, NoWorkers, EventLog { }, WorkflowMeters())
        started += peering
        peering.start()
    }

    private fun freeEndpoint() = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })

    // A host takes its incarnation from its clock. Guards against peers that reject a host for good
    // because its clock was set back before a restart.
    @Test
    fun `reconnects to peers after a restart with the clock set back`() {
        val earlierPeer = peer("knowing")
        val earlierProcess = peer("host", System.currentTimeMillis() + CLOCK_STEP_MILLIS)
        earlierProcess.dial(setOf(earlierPeer.address))
        eventually("the earlier process is connected") { earlierPeer.isConnectedTo("host") }
        earlierProcess.close()
        eventually("the earlier process is disconnected") { !earlierPeer.isConnectedTo("host") }
        val address = startPeering("host")
        val newPeer = peer("unknowing")
        newPeer.dial(setOf(address))
        eventually("the host is connected to a new peer") { newPeer.isConnectedTo("host") }
        Thread.sleep(FIRST_FRAMES_MILLIS)
        earlierPeer.dial(setOf(address))
        eventually("the restarted host is connected to the peer that knew it") {
            earlierPeer.isConnectedTo("host")
        }
    }

    // Guards against hosts that connect to the address that another host listens on, where that is
    // reached at another one: a proxy between them would be passed by.
    @Test
    fun `tells the other hosts the address that it advertises`() {
        val store = MemoryStore()
        val advertised = freeEndpoint()
        startPeering("host", WorkflowPeers("zone", freeEndpoint(), 1.0, advertised), store)
        eventually("the host is registered at the advertised address") {
            val entry = store.get(WorkflowKeys.host("host")).getOrNull()
            entry != null &&
                decodeRecordOrNull<HostRecord>(entry.value)?.peerAddress == "$advertised"
        }
    }

    private fun TcpPeerNetwork.isConnectedTo(host: String) = connected().any { it.host == host }

    private companion object {
        /** Much longer than the test runs. */
        const val CLOCK_STEP_MILLIS = 1_000_000L

        /** Within this time, the first frames of the new peer arrive. */
        const val FIRST_FRAMES_MILLIS = 300L
    }
}

/** Workers that must not receive orders. */
internal object NoWorkers : RunPort {
    override fun start(order: StartOrder, done: (WorkerAnswer) -> Unit) = fail()

    override fun stop(order: StopOrder, done: (WorkerAnswer) -> Unit) = fail()

    override fun poll(order: PollOrder, done: (WorkerAnswer) -> Unit) = fail()

    override fun pace(order: PaceOrder, done: (WorkerAnswer) -> Unit) = fail()

    private fun fail(): Nothing = error("unexpected order: no host is the owner")
}
