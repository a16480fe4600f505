/** A listening TCP socket whose calls suspend instead of blocking a thread. */
package sycamoremast.daemon.peer

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel

/** Accepts connections as [PeerSocket]s. */
internal class PeerListener private constructor(
    private val channel: ServerSocketChannel,
    private val selector: ChannelSelector
) : AutoCloseable {
    val port: Int get() = (channel.localAddress as InetSocketAddress).port

    /** @throws IOException if no connection can be accepted */
    suspend fun accept(): PeerSocket {
        while (true) {
            channel.accept()?.let { return PeerSocket.of(it, selector) }
            selector.awaitReady(channel, SelectionKey.OP_ACCEPT)
        }
    }

    override fun close() {
        channel.close()
        selector.release(channel)
    }

    companion object {
        /** Covers a large fleet's hosts that dial repeatedly while this one doesn't accept. */
        private const val MAX_WAITING_CONNECTIONS = 512

        /** @throws IOException if [address] can't be bound */
        fun bind(address: InetSocketAddress, selector: ChannelSelector): PeerListener {
            val channel = ServerSocketChannel.open()
            channel.configureBlocking(false)
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            channel.bind(address, MAX_WAITING_CONNECTIONS)
            return PeerListener(channel, selector)
        }
    }
}
