/**
 * How the size of a shard's document is bounded.
 *
 * A job is accepted only if the document keeps room for everything that may have to be recorded of
 * the accepted jobs, so that their completions always fit. No team takes more than a part of what
 * is left, so that there is always room for another team's jobs.
 */
package sycamoremast.coordination.record

import kotlinx.serialization.json.Json

/** The [freeBytes] of a document, and the [reservedBytes] of each team's open jobs. */
data class DocumentSpace(val freeBytes: Int, val reservedBytes: Map<String, Int>) {
    /** Returns whether the job of [record] may be accepted now. */
    fun admits(record: JobRecord): Boolean {
        val bytes = maxBytes(record)
        val taken = reservedBytes[record.team] ?: 0
        return taken + bytes <= TEAM_TO_FREE_RATIO * (freeBytes - bytes)
    }

    /** Returns what is left once the job of [record] is accepted. */
    fun with(record: JobRecord): DocumentSpace {
        val bytes = maxBytes(record)
        val taken = reservedBytes[record.team] ?: 0
        return DocumentSpace(freeBytes - bytes, reservedBytes + (record.team to taken + bytes))
    }

    companion object {
        /** The most bytes of a document that is written. */
        const val DOCUMENT_BYTES = 900_000

        /** The bytes that accepted jobs may take; the rest is for workers and cancellations. */
        const val ACCEPTED_BYTES = 800_000

        /** The most bytes of one job. */
        const val JOB_BYTES = 200_000

        /** The most that a team's open jobs take, as a multiple of what they leave free. */
        private const val TEAM_TO_FREE_RATIO = 2

        /** The most bytes that the end of a job adds besides its reason and indices. */
        private const val MAX_END_BYTES = 70

        /** Returns the room in [document]. */
        fun of(document: ShardDocument): DocumentSpace {
            val open = document.jobs.filter { it.state == JobState.ACCEPTED }
            val free = ACCEPTED_BYTES - document.print().toByteArray().size - open.sumOf(::growth)
            val taken = open.groupBy { it.team }.mapValues { (_, jobs) -> jobs.sumOf(::maxBytes) }
            return DocumentSpace(free, taken)
        }

        /** Returns the most bytes that [record] may come to take. */
        fun maxBytes(record: JobRecord): Int =
            Json.encodeToString(JobRecord.serializer(), record).toByteArray().size + growth(record)

        /** Returns why the job of [record] is never accepted, or null if it can be. */
        fun sizeRejection(record: JobRecord): String? {
            val bytes = maxBytes(record)
            if (bytes <= JOB_BYTES) return null
            return "its ${record.tasks} tasks may take $bytes bytes of its shard's document, " +
                "more than the $JOB_BYTES of one job"
        }

        /** A job that ends loses its spec. In the worst order of completions, every second index stands alone. */
        private fun growth(record: JobRecord): Int {
            val indexBytes = "${record.tasks},".length
            val sets = if (record.spec?.neverRepeat == true) 2 else 1
            val indices = sets * (record.tasks + 1) / 2
            val spec =
                record.spec?.let { Json.encodeToString(JobSpec.serializer(), it).length } ?: 0
            val end = JobRecord.REASON_LENGTH + MAX_END_BYTES - spec
            return indices * indexBytes + end.coerceAtLeast(0)
        }
    }
}
