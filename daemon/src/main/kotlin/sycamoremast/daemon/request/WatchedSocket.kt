/**
 * A socket that counts the bytes of a response, so that surplus bytes are detected.
 *
 * The HTTP client reads a response up to its length, and would take surplus bytes for the beginning
 * of the next response on the same connection. The count of bytes after the headers reveals them.
 */
package sycamoremast.daemon.request

import java.io.FilterInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/** A socket that counts the bytes after the headers of the current response. */
internal class WatchedSocket : Socket() {
    private val watched by lazy { AnswerCounter(super.getInputStream()) }
    private var requests = 0

    override fun getInputStream(): InputStream = watched

    /** Returns whether bytes have arrived while no request is in progress. */
    fun hasUnexpectedBytes() = watched.available() > 0

    /** Whether an earlier request was sent on this connection. */
    val isReused: Boolean get() = requests > 1

    /** Starts counting the bytes of the response to the next request. */
    fun beginAnswer() {
        requests++
        watched.begin()
    }

    /** Returns the number of bytes received after the headers of the current response. */
    fun bytesAfterHeaders(): Long = watched.bytesAfterHeaders
}

/** Creates the sockets of connections to backend servers. */
internal object WatchedSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = WatchedSocket().apply { tcpNoDelay = true }

    override fun createSocket(host: String, port: Int) = unsupported()

    override fun createSocket(host: String, port: Int, local: InetAddress, localPort: Int) =
        unsupported()

    override fun createSocket(host: InetAddress, port: Int) = unsupported()

    override fun createSocket(host: InetAddress, port: Int, local: InetAddress, localPort: Int) =
        unsupported()

    private fun unsupported(): Socket =
        throw UnsupportedOperationException("only unconnected sockets can be created")
}

/** Counts the bytes after the headers of a response; skips informational (1xx) responses. */
private class AnswerCounter(input: InputStream) : FilterInputStream(input) {
    @Volatile
    var bytesAfterHeaders = 0L
        private set

    private var inHeaders = false
    private var matched = 0
    private val start = StringBuilder()

    fun begin() {
        bytesAfterHeaders = 0
        inHeaders = true
        matched = 0
        start.clear()
    }

    override fun read(): Int {
        val byte = super.read()
        if (byte >= 0) count(byteArrayOf(byte.toByte()), 0, 1)
        return byte
    }

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        val read = super.read(buffer, offset, length)
        if (read > 0) count(buffer, offset, read)
        return read
    }

    private fun count(buffer: ByteArray, offset: Int, length: Int) {
        var position = offset
        val end = offset + length
        while (inHeaders && position < end) header(buffer[position++].toInt().toChar())
        bytesAfterHeaders += end - position
    }

    private fun header(char: Char) {
        if (start.length < INFORMATIONAL.length) start.append(char)
        matched = when {
            char == END_OF_HEADERS[matched] -> matched + 1
            char == END_OF_HEADERS[0] -> 1
            else -> 0
        }
        if (matched == END_OF_HEADERS.length) endHeaders()
    }

    private fun endHeaders() {
        val informational = start.contentEquals(INFORMATIONAL)
        begin()
        inHeaders = informational
    }

    private companion object {
        const val END_OF_HEADERS = "\r\n\r\n"
        const val INFORMATIONAL = "HTTP/1.1 1"
    }
}
