/** One connection to another entry host, with a bounded queue of outgoing frames. */
package sycamoremast.daemon.peer

import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.channels.getOrElse
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull

/** Thrown when a peer violates the protocol or its limits; [kind] becomes a metric label. */
internal class PeerViolationException(val kind: String, message: String) :
    IllegalStateException(message)

/** A connection over [socket] to the peer at [address]. */
internal class PeerConnection(
    private val socket: PeerSocket,
    val address: String,
    private val limits: PeerLimits,
    private val counters: PeerCounters
) {
    private val queue = Channel<ByteArray>(limits.maxQueuedMessages)
    private val queuedBytes = AtomicLong()

    /** The identity of the peer, or null until it has introduced itself. */
    @Volatile
    var peer: PeerIdentity? = null

    /** When a frame was last received, by the monotonic clock. */
    @Volatile
    var lastReceivedNanos = System.nanoTime()
        private set

    /** Queues [frame]; returns false if it is too large, the queue is full or this is closed. */
    fun offer(frame: PeerFrame): Boolean {
        val bytes = PeerCodec.encode(frame)
        if (bytes.size > limits.maxMessageBytes) return false
        if (queuedBytes.addAndGet(bytes.size.toLong()) > limits.maxQueuedBytes) {
            queuedBytes.addAndGet(-bytes.size.toLong())
            return false
        }
        if (queue.trySend(bytes).isSuccess) return true
        queuedBytes.addAndGet(-bytes.size.toLong())
        return false
    }

    /** Sends [frame] immediately, bypassing the queue; only to be used before [run]. */
    suspend fun sendNow(frame: PeerFrame) {
        withTimeout(limits.connectTimeout) { write(PeerCodec.encode(frame)) }
    }

    /** Receives the first frame, with a tighter limit on its size and its delay. */
    suspend fun receiveFirst(): PeerFrame =
        withTimeout(limits.connectTimeout) { read(MAX_FIRST_FRAME_BYTES) }

    /** Sends queued frames and passes received ones to [onFrame] until the connection ends. */
    suspend fun run(onFrame: (PeerFrame) -> Unit) = coroutineScope {
        launch { writeLoop() }
        while (true) {
            val frame = withTimeoutOrNull(limits.dropAfterSilence) { read(limits.maxMessageBytes) }
                ?: throw PeerViolationException("silent", "nothing received within the time limit")
            lastReceivedNanos = System.nanoTime()
            onFrame(frame)
        }
    }

    /** Closes the queue and the socket. */
    fun close() {
        queue.close()
        socket.close()
    }

    private suspend fun writeLoop() {
        while (true) {
            val next = nextOrNull()
            val bytes = if (next == null) PING_BYTES else next.getOrElse { return }
            withTimeoutOrNull(limits.dropAfterSilence) { write(bytes) }
                ?: throw PeerViolationException("slow", "peer did not read within the time limit")
            if (next != null) queuedBytes.addAndGet(-bytes.size.toLong())
        }
    }

    /** Returns the next queued frame, or null if it is time for a ping; never loses a frame. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextOrNull(): ChannelResult<ByteArray>? = select {
        queue.onReceiveCatching { it }
        onTimeout(limits.pingAfter) { null }
    }

    private suspend fun write(bytes: ByteArray) {
        val frame = ByteBuffer.allocate(LENGTH_BYTES + bytes.size).putInt(bytes.size).put(bytes)
        socket.write(frame.flip())
        counters.countSent(frame.limit())
    }

    private suspend fun read(maxBytes: Int): PeerFrame {
        val length = ByteBuffer.wrap(socket.read(LENGTH_BYTES)).getInt()
        if (length !in 1..maxBytes) {
            throw PeerViolationException("oversized", "a frame of $length bytes, limit $maxBytes")
        }
        val bytes = socket.read(length)
        counters.countReceived(length + LENGTH_BYTES)
        return try {
            PeerCodec.decode(bytes)
        } catch (e: MalformedFrameException) {
            throw PeerViolationException("malformed", e.message.orEmpty())
        }
    }

    private companion object {
        const val LENGTH_BYTES = 4
        const val MAX_FIRST_FRAME_BYTES = 4_096
        val PING_BYTES = PeerCodec.encode(PeerFrame.Ping)
    }
}

/** Returns a short reason why a connection ended, for the log. */
internal fun Throwable.endReason(): String = when (this) {
    is PeerViolationException -> "$kind: $message"
    is CancellationException -> "timed out or closed"
    else -> message ?: this::class.simpleName.orEmpty()
}
