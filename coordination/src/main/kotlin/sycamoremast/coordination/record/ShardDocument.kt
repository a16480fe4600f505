/**
 * The document that holds the durable state of a shard in the platform's key-value service.
 *
 * Every change is one compare-and-swap of the whole document. A takeover of the shard raises
 * [ShardDocument.epoch], so that a write of the previous owner fails with a conflict. Each writer
 * stores its last sequence number in [ShardDocument.sequences]. After a lost answer, it reads the
 * number back to find out whether its write took effect.
 */
package sycamoremast.coordination.record

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * The durable state of a shard; [workers] lists every worker that may hold one of its tasks.
 *
 * [revisions] holds, for each team, the highest revision of its configuration that was applied, and
 * [ended] the names of ended jobs whose records have been removed.
 */
@Serializable
data class ShardDocument(
    val epoch: Long = 0,
    val owner: String = "",
    val jobs: List<JobRecord> = emptyList(),
    val workers: List<String> = emptyList(),
    val revisions: Map<String, Long> = emptyMap(),
    val ended: Map<String, EndedNames> = emptyMap(),
    val sequences: Map<String, Long> = emptyMap()
) {
    /** Returns this document with [changes] applied in order, as write [sequence] of [writer]. */
    fun with(changes: List<DocumentChange>, writer: String, sequence: Long): ShardDocument =
        changes.fold(this) { document, change -> change.applyTo(document) }
            .copy(sequences = sequences.updated(writer, sequence))

    /** Returns whether write number [sequence] of [writer] took effect. */
    fun hasWrite(writer: String, sequence: Long) = (sequences[writer] ?: 0) >= sequence

    /** Returns the record of [key], or null if there is none. */
    fun job(key: JobKey): JobRecord? =
        jobs.firstOrNull { it.team == key.team && it.name == key.name }

    /** Returns the state of the job [key], or null if neither its record nor its name is kept. */
    fun stateOf(key: JobKey): JobState? = job(key)?.state ?: ended[key.team]?.stateOf(key.name)

    /** Returns the JSON form of this document. */
    fun print(): String = JSON.encodeToString(serializer(), this)

    companion object {
        /** The maximum number of writers whose last sequence number is kept. */
        const val MAX_WRITERS = 24

        private val JSON = Json { ignoreUnknownKeys = true }

        /** Returns the document with the JSON form [text], or null if it is not a document. */
        fun parseOrNull(text: String): ShardDocument? = try {
            JSON.decodeFromString(serializer(), text)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

        private fun Map<String, Long>.updated(writer: String, sequence: Long): Map<String, Long> =
            (minus(writer) + (writer to sequence)).entries
                .toList()
                .takeLast(MAX_WRITERS)
                .associate { it.key to it.value }
    }
}
