/**
 * The document that records a shard in the platform's service.
 *
 * Every change is one compare-and-swap of the whole document. Taking the shard over raises
 * [ShardDocument.epoch], so a write of the earlier owner meets a conflict. A writer leaves its last
 * sequence number in [ShardDocument.sequences], by which it tells whether a write took effect whose
 * answer was lost.
 */
package sycamoremast.coordination.record

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * A shard's record; [workers] lists every worker that may hold one of its tasks.
 *
 * [ended] holds, for each team, the names of ended jobs whose records are gone.
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
    /** Returns this document with [changes] applied, in order, by [writer] as its [sequence]. */
    fun with(changes: List<DocumentChange>, writer: String, sequence: Long): ShardDocument =
        changes.fold(this) { document, change -> change.applyTo(document) }
            .copy(sequences = sequences.updated(writer, sequence))

    /** Returns whether [writer]'s write number [sequence] took effect. */
    fun hasWrite(writer: String, sequence: Long) = (sequences[writer] ?: 0) >= sequence

    /** Returns the record of [key], or null if there is none. */
    fun job(key: JobKey): JobRecord? =
        jobs.firstOrNull { it.team == key.team && it.name == key.name }

    /** Returns where the job [key] stands, or null if it was never recorded or is forgotten. */
    fun stateOf(key: JobKey): JobState? = job(key)?.state ?: ended[key.team]?.stateOf(key.name)

    /** Returns the JSON form. */
    fun print(): String = JSON.encodeToString(serializer(), this)

    companion object {
        /** The number of writers whose last sequence is kept. */
        const val MAX_WRITERS = 24

        private val JSON = Json { ignoreUnknownKeys = true }

        /** Returns the document that [text] holds, or null if it holds none. */
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
