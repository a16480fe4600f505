/** Sockets without Nagle's algorithm. */
package sycamoremast.daemon.platform

import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Creates sockets with `TCP_NODELAY`, which send each write at once.
 *
 * With Nagle's algorithm, the last part of a request that spans several writes waits for the
 * acknowledgement of the previous part, which the peer may delay by 40 ms.
 */
internal object NoDelaySocketFactory : SocketFactory() {
    private val delegate = getDefault()

    override fun createSocket(): Socket = withNoDelay(delegate.createSocket())

    override fun createSocket(host: String, port: Int): Socket =
        withNoDelay(delegate.createSocket(host, port))

    override fun createSocket(host: String, port: Int, local: InetAddress, localPort: Int): Socket =
        withNoDelay(delegate.createSocket(host, port, local, localPort))

    override fun createSocket(host: InetAddress, port: Int): Socket =
        withNoDelay(delegate.createSocket(host, port))

    override fun createSocket(
        address: InetAddress,
        port: Int,
        local: InetAddress,
        localPort: Int
    ): Socket = withNoDelay(delegate.createSocket(address, port, local, localPort))

    private fun withNoDelay(socket: Socket) = socket.apply { tcpNoDelay = true }
}
