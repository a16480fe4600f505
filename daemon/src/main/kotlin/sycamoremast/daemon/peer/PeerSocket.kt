/** A TCP socket whose calls suspend instead of blocking a thread. */
package sycamoremast.daemon.peer

import java.io.EOFException
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import kotlin.math.min
import kotlin.time.Duration
import kotlinx.coroutines.withTimeoutOrNull

/** A connected socket, read by one coroutine and written by one at a time. */
internal class PeerSocket private constructor(
    private val channel: SocketChannel,
    private val selector: ChannelSelector
) : AutoCloseable {
    /** What was received and not yet read. */
    private val received = ByteBuffer.allocate(READ_BUFFER_BYTES).flip()

    val remoteAddress: String
        get() = channel.remoteAddress?.toString()?.removePrefix("/") ?: "closed"

    /** @throws IOException if the connection ends before [size] bytes were received */
    suspend fun read(size: Int): ByteArray {
        val bytes = ByteArray(size)
        var count = 0
        while (count < size) {
            if (!received.hasRemaining()) receive()
            val next = min(size - count, received.remaining())
            received.get(bytes, count, next)
            count += next
        }
        return bytes
    }

    private suspend fun receive() {
        received.clear()
        var count = channel.read(received)
        while (count == 0) {
            selector.awaitReady(channel, SelectionKey.OP_READ)
            count = channel.read(received)
        }
        received.flip()
        if (count < 0) throw EOFException("closed by the peer")
    }

    /** @throws IOException if the connection ends before all of [bytes] were accepted */
    suspend fun write(bytes: ByteBuffer) {
        val end = bytes.limit()
        while (bytes.position() < end) {
            bytes.limit(min(end, bytes.position() + MAX_WRITE_BYTES))
            if (channel.write(bytes) == 0) selector.awaitReady(channel, SelectionKey.OP_WRITE)
            bytes.limit(end)
        }
    }

    private suspend fun connect(address: InetSocketAddress) {
        if (channel.connect(address)) return
        do {
            selector.awaitReady(channel, SelectionKey.OP_CONNECT)
        } while (!channel.finishConnect())
    }

    override fun close() {
        channel.close()
        selector.release(channel)
    }

    companion object {
        private const val READ_BUFFER_BYTES = 16_384

        /** The JDK keeps a buffer as large as the largest write for each thread. */
        private const val MAX_WRITE_BYTES = 65_536

        /**
         * Returns a socket connected to [address], or null if that takes longer than [timeout].
         *
         * @throws IOException if no connection to [address] can be made
         */
        suspend fun connectOrNull(
            address: InetSocketAddress,
            selector: ChannelSelector,
            timeout: Duration
        ): PeerSocket? {
            val socket = of(SocketChannel.open(), selector)
            // A timeout or cancellation may also discard the result of an attempt that has ended.
            var isConnected = false
            try {
                isConnected = withTimeoutOrNull(timeout) { socket.connect(address) } != null
            } finally {
                if (!isConnected) socket.close()
            }
            return socket.takeIf { isConnected }
        }

        /** Returns the socket of the connected or new [channel]. */
        fun of(channel: SocketChannel, selector: ChannelSelector): PeerSocket {
            channel.configureBlocking(false)
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            return PeerSocket(channel, selector)
        }
    }
}
