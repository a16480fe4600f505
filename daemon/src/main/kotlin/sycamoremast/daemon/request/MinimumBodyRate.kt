/**
 * Enforces a minimum rate at which callers send their request bodies.
 *
 * A caller that sends its body slowly occupies a thread, and also a slot if the body is too long to
 * be buffered. Reading therefore fails when the body falls behind the minimum average rate, even if
 * bytes keep trickling in.
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
 * The minimum rate at which a caller has to send its body.
 *
 * The total time spent waiting for the body may be [graceMillis] plus the time that the bytes
 * received so far take at [bytesPerSecond].
 */
data class MinimumBodyRate(
    val graceMillis: Long = 10_000,
    val bytesPerSecond: Long = DEFAULT_BYTES_PER_SECOND
) {
    init {
        require(graceMillis > 0) { "graceMillis must be positive: $graceMillis" }
        require(bytesPerSecond > 0) { "bytesPerSecond must be positive: $bytesPerSecond" }
    }

    /** Returns the total time that may be spent waiting if [received] bytes have arrived. */
    fun allowedWaitMillis(received: Long): Long =
        graceMillis + TimeUnit.SECONDS.toMillis(received) / bytesPerSecond

    companion object {
        private const val DEFAULT_BYTES_PER_SECOND = 16_384L
    }
}

/** Thrown if a caller's body arrives more slowly than the minimum rate. */
internal class SlowBodyException(message: String) : IOException(message)

/** A blocking view of [exchange] that enforces [minimumRate] while the request body is read. */
internal class MinimumRateExchange(
    private val exchange: HttpServerExchange,
    minimumRate: MinimumBodyRate
) : BlockingHttpExchange {
    private val input by lazy { MinimumRateBody(exchange.requestChannel, minimumRate) }

    private val output by lazy { UndertowOutputStream(exchange) }

    override fun getInputStream(): InputStream = input

    override fun getOutputStream(): OutputStream = output

    override fun getSender() = BlockingSenderImpl(exchange, output)

    override fun getReceiver() = BlockingReceiverImpl(exchange, input)

    /** Ends the response; if the body was too slow, the connection is closed soon after. */
    override fun close() {
        output.close()
        if (input.isTooSlow) {
            exchange.ioThread.executeAfter(
                ::closeConnection,
                CLOSE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS
            )
        }
    }

    private fun closeConnection() = IoUtils.safeClose(exchange.connection)

    private companion object {
        /** The time that the caller has to receive the response before the connection is closed. */
        const val CLOSE_DELAY_MILLIS = 500L
    }
}

/** Reads [channel], which is null without a body, and fails if it is slower than [minimumRate]. */
private class MinimumRateBody(
    private val channel: StreamSourceChannel?,
    private val minimumRate: MinimumBodyRate
) : InputStream() {
    private var waitedNanos = 0L
    private var received = 0L

    /** Whether reading has failed because the body was too slow. */
    @Volatile
    var isTooSlow = false
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

    /** Waits for the caller. Only this time counts, not that for a slot or the backend server. */
    private fun await(channel: StreamSourceChannel, buffer: ByteBuffer): Int {
        val remainingMillis = minimumRate.allowedWaitMillis(received) - waitedMillis()
        if (remainingMillis <= 0) failTooSlow()
        val began = System.nanoTime()
        val count = Channels.readBlocking(channel, buffer, remainingMillis, TimeUnit.MILLISECONDS)
        waitedNanos += System.nanoTime() - began
        if (count == 0) failTooSlow()
        return count
    }

    private fun waitedMillis() = TimeUnit.NANOSECONDS.toMillis(waitedNanos)

    private fun failTooSlow(): Nothing {
        isTooSlow = true
        throw SlowBodyException("only $received bytes of the body came in ${waitedMillis()} ms")
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
