/**
 * The names of ended jobs, kept longer than their records so that no ended job is run again.
 *
 * A name takes [EndedNames.BYTES_PER_NAME] characters of base64, which hold 46 bits of its hash and
 * 2 bits for the job's final state. The probability that any two of a team's 1,000 names share a
 * hash is below one in a hundred million.
 */
package sycamoremast.coordination.record

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An immutable set of the names of one team's ended jobs, in the order of their addition. */
@Serializable(with = EndedNamesSerializer::class)
class EndedNames private constructor(private val text: String) {
    private val states: Map<Long, JobState> by lazy {
        text.chunked(BYTES_PER_NAME).associate { hashOf(it) to finalStateOf(it) }
    }

    /** The number of names in this set. */
    val size: Int get() = text.length / BYTES_PER_NAME

    /** Returns the final state of the job [name], or null if it is not in this set. */
    fun stateOf(name: String): JobState? = states[hashOf(codeOf(name, JobState.FINISHED))]

    /** Returns this set with the jobs [ended] added; names in it keep their recorded state. */
    fun plus(ended: Map<String, JobState>): EndedNames {
        val added = ended.filterKeys { stateOf(it) == null }
        val codes = added.map { (name, state) -> codeOf(name, state) }
        return EndedNames(text + codes.joinToString(""))
    }

    /** Returns this set without the names in [other]. */
    operator fun minus(other: EndedNames): EndedNames {
        val codes = text.chunked(BYTES_PER_NAME).filter { hashOf(it) !in other.states }
        return EndedNames(codes.joinToString(""))
    }

    /** Returns the [count] oldest names that are not in [names], or fewer if there are no more. */
    fun oldestExcept(names: Collection<String>, count: Int): EndedNames {
        val kept = names.mapTo(HashSet()) { hashOf(codeOf(it, JobState.FINISHED)) }
        val codes = text.chunked(BYTES_PER_NAME).filter { hashOf(it) !in kept }
        return EndedNames(codes.take(count).joinToString(""))
    }

    override fun equals(other: Any?) = other is EndedNames && other.text == text

    override fun hashCode() = text.hashCode()

    override fun toString() = text

    companion object {
        /** The empty set. */
        val EMPTY = EndedNames("")

        /** The length of one name in the text form. */
        const val BYTES_PER_NAME = 8

        private const val CODE_BYTES = 6
        private const val CODE_BITS = 48
        private const val STATE_BITS = 2
        private const val STATE_MASK = 3L
        private val STATES = JobState.entries.filter { it != JobState.ACCEPTED }

        /**
         * Returns the set that [text] lists.
         *
         * @throws IllegalArgumentException if the text is not a list of names
         */
        fun parse(text: String): EndedNames =
            requireNotNull(parseOrNull(text)) { "not a list of ended names: $text" }

        /** Returns the set that [text] lists, or null if it is not a list of names. */
        fun parseOrNull(text: String): EndedNames? = try {
            val hasWholeCodes = Base64.getUrlDecoder().decode(text).size % CODE_BYTES == 0
            EndedNames(text).takeIf { hasWholeCodes && text.length % BYTES_PER_NAME == 0 }
        } catch (_: IllegalArgumentException) {
            null
        }

        private fun codeOf(name: String, state: JobState): String {
            val digest = MessageDigest.getInstance("SHA-256").digest(name.toByteArray())
            val hash = ByteBuffer.wrap(digest).long ushr (Long.SIZE_BITS - CODE_BITS + STATE_BITS)
            val code = (hash shl STATE_BITS) or STATES.indexOf(state).toLong()
            val bytes = ByteBuffer.allocate(Long.SIZE_BYTES).putLong(code).array()
            val start = Long.SIZE_BYTES - CODE_BYTES
            return Base64.getUrlEncoder().encodeToString(bytes.copyOfRange(start, bytes.size))
        }

        private fun valueOf(code: String): Long = Base64.getUrlDecoder().decode(code)
            .fold(0L) { value, byte -> (value shl Byte.SIZE_BITS) or byte.toUByte().toLong() }

        private fun hashOf(code: String): Long = valueOf(code) shr STATE_BITS

        private fun finalStateOf(code: String) = STATES[(valueOf(code) and STATE_MASK).toInt()]
    }
}

internal object EndedNamesSerializer : KSerializer<EndedNames> {
    override val descriptor = PrimitiveSerialDescriptor("EndedNames", PrimitiveKind.STRING)

    override fun deserialize(decoder: Decoder) = EndedNames.parse(decoder.decodeString())

    override fun serialize(encoder: Encoder, value: EndedNames) =
        encoder.encodeString(value.toString())
}
