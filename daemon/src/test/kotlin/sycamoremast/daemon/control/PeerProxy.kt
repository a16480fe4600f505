/** A fault-injecting proxy for the peer address of one host. */
package sycamoremast.daemon.control

import java.net.ServerSocket
import java.nio.ByteBuffer
import org.netcrusher.core.filter.TransformFilter
import org.netcrusher.core.filter.TransformFilterFactory
import org.netcrusher.core.reactor.NioReactor
import org.netcrusher.tcp.TcpCrusherBuilder

/** Forwards connections to [port]; discards the bytes of each direction that is cut. */
internal class PeerProxy(reactor: NioReactor) : AutoCloseable {
    /** The port that the host listens on. */
    val port = freePort()

    private val bindPort = freePort()

    @Volatile
    var discardsToHost = false

    @Volatile
    var discardsFromHost = false

    private val crusher = TcpCrusherBuilder.builder()
        .withReactor(reactor)
        .withBindAddress("127.0.0.1", bindPort)
        .withConnectAddress("127.0.0.1", port)
        .withOutgoingTransformFilterFactory(filter { discardsToHost })
        .withIncomingTransformFilterFactory(filter { discardsFromHost })
        .buildAndOpen()

    /** The address that the host's peers dial. */
    val address get() = "127.0.0.1:$bindPort"

    /** Discards all bytes in both directions until [heal]. */
    fun cut() {
        discardsToHost = true
        discardsFromHost = true
    }

    fun heal() {
        discardsToHost = false
        discardsFromHost = false
    }

    override fun close() = crusher.close()

    private fun filter(discards: () -> Boolean) = TransformFilterFactory {
        TransformFilter { bytes: ByteBuffer -> if (discards()) bytes.position(bytes.limit()) }
    }

    private fun freePort() = ServerSocket(0).use { it.localPort }
}
