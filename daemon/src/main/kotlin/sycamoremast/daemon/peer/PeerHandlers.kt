/** Hands received messages to their handlers and answers to those who asked. */
package sycamoremast.daemon.peer

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.reflect.KClass
import org.tinylog.kotlin.Logger
import sycamoremast.daemon.log.event

internal class PeerHandlers(private val counters: PeerCounters) {
    private val handlers =
        ConcurrentHashMap<KClass<out PeerMessage>, (String, PeerMessage) -> PeerMessage?>()
    private val questions = ConcurrentHashMap<Long, CompletableFuture<PeerMessage>>()

    fun <T : PeerMessage> add(type: KClass<T>, handler: (String, T) -> PeerMessage?) {
        @Suppress("UNCHECKED_CAST")
        val untyped = handler as (String, PeerMessage) -> PeerMessage?
        val other = handlers.putIfAbsent(type, untyped)
        require(other == null) { "two handlers for ${type.simpleName}" }
    }

    /** Returns the answer to the question [id], to come. */
    fun expectAnswer(id: Long): CompletableFuture<PeerMessage> =
        questions.computeIfAbsent(id) { CompletableFuture() }

    fun forget(id: Long) {
        questions.remove(id)
    }

    /** @throws PeerViolationException if [frame] is malformed or out of place */
    fun receive(connection: PeerConnection, from: String, frame: PeerFrame) {
        if (frame !is PeerFrame.Message) {
            throw PeerViolationException("malformed", "an introduction in mid-connection")
        }
        val message = try {
            PeerCodec.unwrapOrNull(frame)
        } catch (e: MalformedFrameException) {
            throw PeerViolationException("malformed", e.message.orEmpty())
        }
        when {
            message == null -> counters.unknownType()
            frame.answer -> questions.remove(frame.id)?.complete(message)
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
        if (answer != null && frame.asks) {
            connection.offer(PeerCodec.wrap(answer, frame.id, answer = true))
        }
    }
}
