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
internal class ByteCountingSocket : Socket() {
    private val countedInput by lazy { ResponseByteCounter(super.getInputStream()) }
    private var requests = 0

    override fun getInputStream(): InputStream = countedInput

    /** Returns whether bytes have arrived while no request is in progress. */
    fun hasUnexpectedBytes() = countedInput.available() > 0

    /** Whether an earlier request was sent on this connection. */
    val isReused: Boolean get() = requests > 1

    /** Starts counting the bytes of the response to the next request. */
    fun beginResponse() {
        requests++
        countedInput.begin()
    }

    /** Returns the number of bytes received after the headers of the current response. */
    fun bytesAfterHeaders(): Long = countedInput.bytesAfterHeaders
}

/** Creates the sockets of connections to backend servers. */
internal object ByteCountingSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = ByteCountingSocket().apply { tcpNoDelay = true }

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
private class ResponseByteCounter(input: InputStream) : FilterInputStream(input) {
    @Volatile
    var bytesAfterHeaders = 0L
        private set

    private var inHeaders = false
    private var terminatorMatch = 0
    private val statusLinePrefix = StringBuilder()

    fun begin() {
        bytesAfterHeaders = 0
        inHeaders = true
        terminatorMatch = 0
        statusLinePrefix.clear()
    }

    override fun read(): Int {
        val byte = super.read()
        if (byte >= 0) countBytes(byteArrayOf(byte.toByte()), 0, 1)
        return byte
    }

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        val read = super.read(buffer, offset, length)
        if (read > 0) countBytes(buffer, offset, read)
        return read
    }

    private fun countBytes(buffer: ByteArray, offset: Int, length: Int) {
        var position = offset
        val end = offset + length
        while (inHeaders && position < end) consumeHeader(buffer[position++].toInt().toChar())
        bytesAfterHeaders += end - position
    }

    private fun consumeHeader(char: Char) {
        if (statusLinePrefix.length < INFORMATIONAL.length) statusLinePrefix.append(char)
        terminatorMatch = when {
            char == END_OF_HEADERS[terminatorMatch] -> terminatorMatch + 1
            char == END_OF_HEADERS[0] -> 1
            else -> 0
        }
        if (terminatorMatch == END_OF_HEADERS.length) endHeaders()
    }

    private fun endHeaders() {
        val informational = statusLinePrefix.contentEquals(INFORMATIONAL)
        begin()
        inHeaders = informational
    }

    private companion object {
        const val END_OF_HEADERS = "\r\n\r\n"
        const val INFORMATIONAL = "HTTP/1.1 1"
    }
}
