/** The body of a caller's request. */
package sycamoremast.daemon.request

import java.io.IOException
import java.io.InputStream
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSink
import org.http4k.core.Request

/**
 * The body of a caller's request.
 *
 * The beginning of the body, [head], is in memory; [rest] is read from the caller while it is sent,
 * and is null if [head] is the complete body.
 */
internal class CallerBody private constructor(
    val head: ByteArray,
    private val rest: InputStream?,
    private val length: Long,
    private val maxBytes: Long
) {
    private var isRestConsumed = false

    val isEmpty: Boolean get() = rest == null && head.isEmpty()

    /** Whether the body can be sent again: it is in memory, or was not sent yet. */
    val isRepeatable: Boolean get() = rest == null || !isRestConsumed

    /** Returns the body as a request body of the HTTP client. */
    fun toRequestBody(): RequestBody =
        if (rest == null) head.toRequestBody() else StreamedBody(rest)

    private inner class StreamedBody(private val rest: InputStream) : RequestBody() {
        override fun contentType() = null

        override fun contentLength() = length

        override fun isOneShot() = true

        override fun writeTo(sink: BufferedSink) {
            isRestConsumed = true
            sink.write(head)
            val buffer = ByteArray(CHUNK_BYTES)
            var total = head.size.toLong()
            while (true) {
                val read = readFromCaller { rest.read(buffer) }
                if (read < 0) return
                total += read
                if (total > maxBytes) throw CallerException("the body exceeds $maxBytes bytes")
                sink.write(buffer, 0, read)
            }
        }
    }

    companion object {
        /** Bodies up to this size are read into memory before the request is queued. */
        const val BUFFERED_BYTES = 64 * 1024
        private const val CHUNK_BYTES = 16 * 1024

        /**
         * Returns the body of [http], read into memory if it is small.
         *
         * @throws CallerException if the body arrives too slowly or its connection fails
         */
        fun of(http: Request, maxBytes: Long): CallerBody {
            val length = http.body.length ?: UNKNOWN_LENGTH
            val stream = http.body.stream
            val head = readFromCaller { stream.readNBytes(BUFFERED_BYTES) }
            val isComplete = head.size < BUFFERED_BYTES || length == head.size.toLong()
            return CallerBody(head, stream.takeUnless { isComplete }, length, maxBytes)
        }

        private const val UNKNOWN_LENGTH = -1L

        private fun <T> readFromCaller(read: () -> T): T = try {
            read()
        } catch (e: SlowBodyException) {
            throw CallerException(e.message.orEmpty(), REQUEST_TIMEOUT)
        } catch (e: IOException) {
            throw CallerException("the request's body was cut short: ${e.message}")
        }

        private const val REQUEST_TIMEOUT = 408
    }
}

/** Thrown if a request fails because of its caller, who gets the HTTP status [status]. */
internal class CallerException(message: String, val status: Int = BAD_REQUEST) :
    IOException(message) {
    private companion object {
        const val BAD_REQUEST = 400
    }
}
