/**
 * The frames on a connection between entry hosts.
 *
 * A frame consists of a four-byte big-endian length and that many bytes of CBOR. The first frame in
 * each direction is a [PeerFrame.Hello], by which both sides negotiate the protocol version. A
 * message carries the name of its type, so that a type added by a later version can be told from a
 * malformed message.
 */
package sycamoremast.daemon.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.InternalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.serializer

/** A frame between two entry hosts. */
@Serializable
internal sealed interface PeerFrame {
    /** Introduces the sender, which supports the protocol versions [oldest] to [newest]. */
    @Serializable
    @SerialName("h")
    data class Hello(
        val magic: String = MAGIC,
        val oldest: Int = OLDEST_VERSION,
        val newest: Int = NEWEST_VERSION,
        val identity: PeerIdentity
    ) : PeerFrame

    /** Refuses a connection; [knownIncarnation] is the highest seen of the receiver's host. */
    @Serializable
    @SerialName("r")
    data class Refusal(val reason: String, val knownIncarnation: Long = 0) : PeerFrame

    /** Keeps an otherwise idle connection alive. */
    @Serializable
    @SerialName("p")
    data object Ping : PeerFrame

    /**
     * Carries a message.
     *
     * It is the request [id] if it [expectsAnswer], or the answer to that request if it [isAnswer].
     * A message that is neither has no [id].
     */
    @Serializable
    @SerialName("m")
    class Message(
        @SerialName("t") val type: String,
        @SerialName("b") @ByteString val body: ByteArray,
        @SerialName("i") val id: Long = 0,
        @SerialName("q") val expectsAnswer: Boolean = false,
        @SerialName("a") val isAnswer: Boolean = false
    ) : PeerFrame

    companion object {
        const val MAGIC = "sycamoremast"
        const val OLDEST_VERSION = 1
        const val NEWEST_VERSION = 1
    }
}

/** Thrown if bytes do not decode to a frame or a message. */
internal class MalformedFrameException(message: String, cause: Throwable? = null) :
    IllegalArgumentException(message, cause)

/** Encodes frames and messages as CBOR. */
@OptIn(ExperimentalSerializationApi::class, InternalSerializationApi::class)
internal object PeerCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val knownTypes = PeerMessage.serializer().descriptor.getElementDescriptor(1)
        .elementDescriptors.mapTo(hashSetOf()) { it.serialName }

    fun encode(frame: PeerFrame): ByteArray = cbor.encodeToByteArray(PeerFrame.serializer(), frame)

    /** @throws MalformedFrameException if [bytes] do not encode a frame */
    fun decode(bytes: ByteArray): PeerFrame = decoding("frame") {
        cbor.decodeFromByteArray(PeerFrame.serializer(), bytes)
    }

    /** Returns a frame that carries [message] with its type. */
    fun wrap(
        message: PeerMessage,
        id: Long = 0,
        expectsAnswer: Boolean = false,
        isAnswer: Boolean = false
    ): PeerFrame.Message {
        val type = message::class.serializer().descriptor.serialName
        val body = cbor.encodeToByteArray(PeerMessage.serializer(), message)
        return PeerFrame.Message(type, body, id, expectsAnswer, isAnswer)
    }

    /**
     * Returns the message in [frame], or null if this version does not know its type.
     *
     * @throws MalformedFrameException if it is malformed
     */
    fun unwrapOrNull(frame: PeerFrame.Message): PeerMessage? {
        if (frame.type !in knownTypes) return null
        return decoding(frame.type) {
            cbor.decodeFromByteArray(PeerMessage.serializer(), frame.body)
        }
    }

    private fun <T> decoding(what: String, decode: () -> T): T = try {
        decode()
    } catch (e: SerializationException) {
        throw MalformedFrameException("malformed $what", e)
    } catch (e: IllegalArgumentException) {
        throw MalformedFrameException("malformed $what", e)
    } catch (e: IndexOutOfBoundsException) {
        throw MalformedFrameException("malformed $what", e)
    }
}
