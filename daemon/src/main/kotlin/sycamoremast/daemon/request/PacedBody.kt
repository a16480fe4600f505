/**
 * Reading a caller's body at a least pace.
 *
 * A caller that sends its body slowly holds a thread, and a slot once the body is too long to be kept.
 * Reading therefore fails when the body is behind its pace, however it trickles.
 */
package sycamoremast.daemon.request

import io.undertow.io.BlockingReceiverImpl
import io.undertow.io.BlockingSenderImpl
import io.undertow.io.UndertowOutputStream
import io.undertow.server.BlockingHttpExchange
import io.undertow.server.HttpServerExchange
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import org.xnio.IoUtils
import org.xnio.channels.Channels
import org.xnio.channels.StreamSourceChannel

/**
 * The pace at which a caller has to send its body.
 *
 * The time waited for it in all may be [graceMillis] and what its bytes so far take at
 * [bytesPerSecond].
 */
data class BodyPace(
    val graceMillis: Long = 10_000,
    val bytesPerSecond: Long = DEFAULT_BYTES_PER_SECOND
) {
    init {
        require(graceMillis > 0) { "graceMillis must be positive: $graceMillis" }
        require(bytesPerSecond > 0) { "bytesPerSecond must be positive: $bytesPerSecond" }
    }

    /** Returns how long may be waited in all for the next byte if [received] bytes have come. */
    fun allowedMillis(received: Long): Long =
        graceMillis + TimeUnit.SECONDS.toMillis(received) / bytesPerSecond

    companion object {
        private const val DEFAULT_BYTES_PER_SECOND = 16_384L
    }
}

/** Thrown when a caller's body is behind its pace. */
internal class SlowBodyException(message: String) : IOException(message)

/** The blocking form of [exchange] whose body is read at [pace]. */
internal class PacedExchange(private val exchange: HttpServerExchange, pace: BodyPace) :
    BlockingHttpExchange {
    private val input by lazy { PacedBody(exchange.requestChannel, pace) }

    private val output by lazy { UndertowOutputStream(exchange) }

    override fun getInputStream(): InputStream = input

    override fun getOutputStream(): OutputStream = output

    override fun getSender() = BlockingSenderImpl(exchange, output)

    override fun getReceiver() = BlockingReceiverImpl(exchange, input)

    /** Ends the answer; the rest of a slow body is not waited for. */
    override fun close() {
        output.close()
        if (input.isBehind) exchange.ioThread.executeAfter(::cut, CUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun cut() = IoUtils.safeClose(exchange.connection)

    private companion object {
        /** The time for the caller to take the answer. */
        const val CUT_MILLIS = 500L
    }
}

/** Reads [channel], which is null if there is no body, and fails when it is behind its [pace]. */
private class PacedBody(private val channel: StreamSourceChannel?, private val pace: BodyPace) :
    InputStream() {
    private var waitedNanos = 0L
    private var received = 0L

    /** Whether reading was given up. */
    @Volatile
    var isBehind = false
        private set

    override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
    }

    override fun read(bytes: ByteArray, offset: Int, length: Int): Int {
        if (length == 0) return 0
        if (channel == null) return -1
        val buffer = ByteBuffer.wrap(bytes, offset, length)
        val count = channel.read(buffer).let { if (it == 0) await(channel, buffer) else it }
        if (count > 0) received += count
        return count
    }

    /** Only the time that is waited for the caller counts, not that for a slot or the backend. */
    private fun await(channel: StreamSourceChannel, buffer: ByteBuffer): Int {
        val left = pace.allowedMillis(received) - waitedMillis()
        if (left <= 0) behind()
        val began = System.nanoTime()
        val count = Channels.readBlocking(channel, buffer, left, TimeUnit.MILLISECONDS)
        waitedNanos += System.nanoTime() - began
        if (count == 0) behind()
        return count
    }

    private fun waitedMillis() = TimeUnit.NANOSECONDS.toMillis(waitedNanos)

    private fun behind(): Nothing {
        isBehind = true
        throw SlowBodyException("only $received bytes of the body came in ${waitedMillis()} ms")
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
