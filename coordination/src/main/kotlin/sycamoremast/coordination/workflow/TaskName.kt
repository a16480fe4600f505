/** The names by which workers know tasks. */
package sycamoremast.coordination.workflow

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** The name of task [index] of [step] in an [occurrence] of [workflow], such as `id.0.1.17`. */
@Serializable(with = TaskNameSerializer::class)
data class TaskName(val workflow: String, val occurrence: Int, val step: Int, val index: Int) {
    override fun toString() = "$workflow.$occurrence.$step.$index"

    companion object {
        private const val PARTS = 4

        /**
         * Returns the name that [text] denotes.
         *
         * @throws IllegalArgumentException if it is not a workflow ID followed by three numbers
         */
        fun parse(text: String): TaskName =
            requireNotNull(parseOrNull(text)) { "not a task's name: $text" }

        /** Returns the name that [text] denotes, or null if it is not a task name. */
        fun parseOrNull(text: String): TaskName? {
            val parts = text.split('.')
            if (parts.size != PARTS || parts[0].isEmpty()) return null
            val numbers = parts.drop(1).mapNotNull { it.toIntOrNull()?.takeIf { n -> n >= 0 } }
            if (numbers.size != PARTS - 1) return null
            val (occurrence, step, index) = numbers
            return TaskName(parts[0], occurrence, step, index)
        }
    }
}

/** Serializes a task name as its text. */
internal object TaskNameSerializer : KSerializer<TaskName> {
    override val descriptor = PrimitiveSerialDescriptor("TaskName", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: TaskName) =
        encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): TaskName = TaskName.parse(decoder.decodeString())
}
