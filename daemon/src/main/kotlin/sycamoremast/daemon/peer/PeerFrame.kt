/**
 * The frames on a connection between entry hosts.
 *
 * A frame is its length in four bytes, most significant first, and as many bytes of CBOR. The first
 * frame each way is a [PeerFrame.Hello], which lets both sides agree on a version of the protocol.
 * A message names its type, so that one which a later version has added can be told from one that
 * is malformed.
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
    /** Introduces the sender, which speaks the versions from [oldest] to [newest]. */
    @Serializable
    @SerialName("h")
    data class Hello(
        val magic: String = MAGIC,
        val oldest: Int = OLDEST_VERSION,
        val newest: Int = NEWEST_VERSION,
        val identity: PeerIdentity
    ) : PeerFrame

    /** Turns the other side away; [knownIncarnation] is the highest that was seen of its host. */
    @Serializable
    @SerialName("r")
    data class Refusal(val reason: String, val knownIncarnation: Long = 0) : PeerFrame

    /** Shows that the sender is there. */
    @Serializable
    @SerialName("p")
    data object Ping : PeerFrame

    /** Carries a message; an [answer] to the question [id], or a question if [asks]. */
    @Serializable
    @SerialName("m")
    class Message(
        @SerialName("t") val type: String,
        @SerialName("b") @ByteString val body: ByteArray,
        @SerialName("i") val id: Long = 0,
        @SerialName("q") val asks: Boolean = false,
        @SerialName("a") val answer: Boolean = false
    ) : PeerFrame

    companion object {
        const val MAGIC = "sycamoremast"
        const val OLDEST_VERSION = 1
        const val NEWEST_VERSION = 1
    }
}

/** Thrown for bytes that are no frame or no message. */
internal class MalformedFrameException(message: String, cause: Throwable? = null) :
    IllegalArgumentException(message, cause)

/** Encodes frames and messages as CBOR. */
@OptIn(ExperimentalSerializationApi::class, InternalSerializationApi::class)
internal object PeerCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val knownTypes = PeerMessage.serializer().descriptor.getElementDescriptor(1)
        .elementDescriptors.mapTo(hashSetOf()) { it.serialName }

    fun encode(frame: PeerFrame): ByteArray = cbor.encodeToByteArray(PeerFrame.serializer(), frame)

    /** @throws MalformedFrameException if [bytes] are no frame */
    fun decode(bytes: ByteArray): PeerFrame = decoding("frame") {
        cbor.decodeFromByteArray(PeerFrame.serializer(), bytes)
    }

    fun wrap(
        message: PeerMessage,
        id: Long = 0,
        asks: Boolean = false,
        answer: Boolean = false
    ): PeerFrame.Message {
        val type = message::class.serializer().descriptor.serialName
        val body = cbor.encodeToByteArray(PeerMessage.serializer(), message)
        return PeerFrame.Message(type, body, id, asks, answer)
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
