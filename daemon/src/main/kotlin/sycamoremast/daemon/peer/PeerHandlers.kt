/** Dispatch of received messages to handlers, and of answers to the pending requests. */
package sycamoremast.daemon.peer

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.reflect.KClass
import org.tinylog.kotlin.Logger
import sycamoremast.daemon.log.event

/** Holds one handler for each type of message and the requests that await an answer. */
internal class PeerHandlers(private val counters: PeerCounters) {
    private val handlers =
        ConcurrentHashMap<KClass<out PeerMessage>, (String, PeerMessage) -> PeerMessage?>()
    private val pendingRequests = ConcurrentHashMap<Long, CompletableFuture<PeerMessage>>()

    fun <T : PeerMessage> add(type: KClass<T>, handler: (String, T) -> PeerMessage?) {
        @Suppress("UNCHECKED_CAST")
        val untyped = handler as (String, PeerMessage) -> PeerMessage?
        val other = handlers.putIfAbsent(type, untyped)
        require(other == null) { "a handler for ${type.simpleName} is already registered" }
    }

    /** Returns a future that completes with the answer to the request [id]. */
    fun expectAnswer(id: Long): CompletableFuture<PeerMessage> =
        pendingRequests.computeIfAbsent(id) { CompletableFuture() }

    /** Stops waiting for the answer to the request [id]. */
    fun forget(id: Long) {
        pendingRequests.remove(id)
    }

    /**
     * Dispatches the message in [frame].
     *
     * @throws PeerViolationException if [frame] is malformed or no message
     */
    fun receive(connection: PeerConnection, from: String, frame: PeerFrame) {
        if (frame !is PeerFrame.Message) {
            throw PeerViolationException("malformed", "a hello or refusal after the introduction")
        }
        val message = try {
            PeerCodec.unwrapOrNull(frame)
        } catch (e: MalformedFrameException) {
            throw PeerViolationException("malformed", e.message.orEmpty())
        }
        when {
            message == null -> counters.countUnknownMessage()
            frame.isAnswer -> pendingRequests.remove(frame.id)?.complete(message)
            else -> dispatch(connection, from, frame, message)
        }
    }

    private fun dispatch(
        connection: PeerConnection,
        from: String,
        frame: PeerFrame.Message,
        message: PeerMessage
    ) {
        val answer = try {
            handlers[message::class]?.invoke(from, message)
        } catch (e: Exception) {
            Logger.error(e) {
                event("peer-handler-failed", "step" to frame.type, "peer" to from)
            }
            null
        }
        if (answer != null && frame.expectsAnswer) {
            connection.offer(PeerCodec.wrap(answer, frame.id, isAnswer = true))
        }
    }
}
