/** Sending to, and hearing from, the other entry hosts. */
package sycamoremast.daemon.peer

import arrow.core.Either
import kotlin.reflect.KClass
import kotlin.time.Duration

/** Typed messages to the other entry hosts. */
interface PeerNetwork {
    /** Sends [message] to [host] without waiting; returns false if it can't even be queued. */
    fun send(host: String, message: PeerMessage): Boolean

    /** Returns the answer of [host] to [message]; blocks for [timeout] at the most. */
    fun ask(host: String, message: PeerMessage, timeout: Duration): Either<PeerError, PeerMessage>

    /**
     * Calls [handler] for each message of [type]; what it returns, if anything, is the answer.
     *
     * Handlers run on the network's threads and must not block for long.
     */
    fun <T : PeerMessage> handle(type: KClass<T>, handler: (from: String, T) -> PeerMessage?)
}

/** A failed exchange with an entry host, with the [step] and the [peer] at which it failed. */
sealed interface PeerError {
    val step: String
    val peer: String

    /** There is no connection to the peer; it got nothing. */
    data class NotConnected(override val step: String, override val peer: String) : PeerError

    /** No answer came in time; the peer may have got the message. */
    data class NoAnswer(override val step: String, override val peer: String) : PeerError
}
