/** The causes for which a workflow may end as failed. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Why the scheduler gave up a task, and with it the task's workflow. */
@Serializable(with = FailureReasonSerializer::class)
enum class FailureReason {
    /** Runs of the task failed, as often as the queue's policy allows. */
    ATTEMPTS_USED_UP,

    /** Workers crashed while they ran the task. */
    WORKERS_CRASHED,

    /** A later version recorded a reason that this version does not know. */
    UNKNOWN
}

/** Serializes a reason by its name, so that records of later versions stay readable. */
internal object FailureReasonSerializer : KSerializer<FailureReason> {
    override val descriptor = PrimitiveSerialDescriptor("FailureReason", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: FailureReason) =
        encoder.encodeString(value.name)

    override fun deserialize(decoder: Decoder): FailureReason {
        val name = decoder.decodeString()
        return FailureReason.entries.find { it.name == name } ?: FailureReason.UNKNOWN
    }
}
