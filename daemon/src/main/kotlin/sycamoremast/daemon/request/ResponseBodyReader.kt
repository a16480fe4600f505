/** Reads the body of a backend response, and rejects truncated and over-long bodies. */
package sycamoremast.daemon.request

import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.io.SequenceInputStream
import okhttp3.Response

/** Reads the body of [response], which was received on the connection of [exchange]. */
internal class ResponseBodyReader(private val response: Response, private val exchange: Exchange) {
    /** Whether a response to this method or with this status never has a body. */
    val isBodiless = response.request.method == "HEAD" || response.code in BODILESS
    private val length = if (isBodiless) 0 else response.body.contentLength()

    /**
     * Returns the body: buffered if it is small, otherwise as a stream that is checked while read.
     *
     * @throws IOException if the body is truncated, if surplus bytes follow it, or if neither a
     * length nor chunked encoding marks its end
     */
    fun read(): BackendResponseBody {
        if (length < 0 && !response.isChunked) fail("the answer has no length")
        val stream = response.body.byteStream()
        val head = abortOnFailure { stream.readNBytes(BUFFERED_BYTES) }
        if (head.size < BUFFERED_BYTES || length == head.size.toLong()) {
            checkNoSurplus()
            response.close()
            return BackendResponseBody.Buffered(head)
        }
        val fullBody = SequenceInputStream(head.inputStream(), stream)
        val checked = CheckedStream(fullBody)
        return BackendResponseBody.Streamed(checked, length.takeIf { it >= 0 }) {
            checked.isComplete
        }
    }

    /** Reads a small body to its end; closes the connection if the body is large or chunked. */
    fun discard() {
        if (length in 0..BUFFERED_BYTES) read() else abort()
    }

    /** Closes the connection, so that it is never reused. */
    fun abort() {
        exchange.socket().close()
        response.close()
    }

    private fun checkNoSurplus() {
        if (exchange.hasSurplusBytes) fail("the answer is over-long")
    }

    private fun fail(reason: String): Nothing {
        abort()
        throw IOException(reason)
    }

    private inline fun <T> abortOnFailure(read: () -> T): T = try {
        read()
    } catch (e: IOException) {
        abort()
        throw e
    }

    /** Forwards the body, and returns its last bytes only after the end has been checked. */
    private inner class CheckedStream(input: InputStream) : FilterInputStream(input) {
        private var receivedBytes = 0L

        /** Whether the end has been reached and checked. */
        var isComplete = false
            private set

        override fun read(): Int {
            val single = ByteArray(1)
            return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
        }

        override fun read(buffer: ByteArray, offset: Int, count: Int): Int {
            val read = abortOnFailure { super.read(buffer, offset, count) }
            if (read > 0) receivedBytes += read
            if (!isComplete && (read < 0 || receivedBytes == length)) {
                checkNoSurplus()
                isComplete = true
            }
            return read
        }

        override fun close() = response.close()
    }

    private companion object {
        const val BUFFERED_BYTES = 64 * 1024
        const val BYTE_MASK = 0xff
        val BODILESS = setOf(204, 304)
    }
}
