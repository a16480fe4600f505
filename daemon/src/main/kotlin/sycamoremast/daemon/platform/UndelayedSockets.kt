/** Sockets that send each write at once. */
package sycamoremast.daemon.platform

import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Creates sockets without Nagle's algorithm.
 *
 * With it, the last part of a request that spans several writes waits for the acknowledgement of the
 * part before, which the peer may delay by 40 ms.
 */
internal object UndelayedSockets : SocketFactory() {
    private val plain = getDefault()

    override fun createSocket(): Socket = undelayed(plain.createSocket())

    override fun createSocket(host: String, port: Int): Socket =
        undelayed(plain.createSocket(host, port))

    override fun createSocket(host: String, port: Int, local: InetAddress, localPort: Int): Socket =
        undelayed(plain.createSocket(host, port, local, localPort))

    override fun createSocket(host: InetAddress, port: Int): Socket =
        undelayed(plain.createSocket(host, port))

    override fun createSocket(
        address: InetAddress,
        port: Int,
        local: InetAddress,
        localPort: Int
    ): Socket = undelayed(plain.createSocket(address, port, local, localPort))

    private fun undelayed(socket: Socket) = socket.apply { tcpNoDelay = true }
}
