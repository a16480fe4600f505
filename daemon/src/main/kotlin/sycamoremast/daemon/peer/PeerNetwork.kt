/** Exchange of messages with the other entry hosts. */
package sycamoremast.daemon.peer

import arrow.core.Either
import kotlin.reflect.KClass
import kotlin.time.Duration

/** Sends and receives typed messages. */
interface PeerNetwork {
    /** Queues [message] for [host] without blocking; returns false if it can't be queued. */
    fun send(host: String, message: PeerMessage): Boolean

    /** Sends [message] to [host] and returns its answer; blocks for at most [timeout]. */
    fun ask(host: String, message: PeerMessage, timeout: Duration): Either<PeerError, PeerMessage>

    /**
     * Calls [handler] for each message of [type]; a non-null result is sent as the answer.
     *
     * Handlers run on the network's threads and must not block for long.
     */
    fun <T : PeerMessage> handle(type: KClass<T>, handler: (from: String, T) -> PeerMessage?)
}

/** The failure of an exchange with [peer] at [step]. */
sealed interface PeerError {
    val step: String
    val peer: String

    /** There was no usable connection to the peer, so the message was not sent. */
    data class NotConnected(override val step: String, override val peer: String) : PeerError

    /** No answer arrived within the timeout; the peer may have received the message. */
    data class NoAnswer(override val step: String, override val peer: String) : PeerError
}
