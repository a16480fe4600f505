package sycamoremast.daemon.peer

import java.net.InetSocketAddress
import java.net.Socket
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class PeerSocketTest {
    private val selector = ChannelSelector.start()
    private val opened = mutableListOf<AutoCloseable>(selector)

    @AfterEach
    fun close() = opened.asReversed().forEach { it.close() }

    private fun <T : AutoCloseable> T.closedAtEnd() = also { opened += it }

    private fun listen() =
        PeerListener.bind(InetSocketAddress("127.0.0.1", 0), selector).closedAtEnd()

    // Guards against hosts that can't connect to one that was frozen while many dialled it.
    @Test
    fun `a listener keeps connections of many hosts waiting until it accepts them`() {
        val listener = listen()
        repeat(WAITING_CONNECTIONS) {
            val socket = Socket().closedAtEnd()
            socket.connect(InetSocketAddress("127.0.0.1", listener.port), CONNECT_LIMIT_MILLIS)
        }
    }

    private companion object {
        const val WAITING_CONNECTIONS = 200
        const val CONNECT_LIMIT_MILLIS = 5_000
    }
}
