/**
 * Limits on the size of a shard's document.
 *
 * A job is accepted only if the document has space for everything that may have to be recorded for
 * all accepted jobs, so that their completions always fit. The space reserved for one team's open
 * jobs is limited to a multiple of the free space, so that other teams' jobs can be accepted.
 */
package sycamoremast.coordination.record

import kotlinx.serialization.json.Json

/** The [freeBytes] of a document, and the [reservedBytes] for each team's open jobs. */
data class DocumentSpace(val freeBytes: Int, val reservedBytes: Map<String, Int>) {
    /** Returns whether the job of [record] may be accepted now. */
    fun admits(record: JobRecord): Boolean {
        val bytes = maxBytes(record)
        val taken = reservedBytes[record.team] ?: 0
        return taken + bytes <= TEAM_TO_FREE_RATIO * (freeBytes - bytes)
    }

    /** Returns the space that is left once the job of [record] is accepted. */
    fun with(record: JobRecord): DocumentSpace {
        val bytes = maxBytes(record)
        val taken = reservedBytes[record.team] ?: 0
        return DocumentSpace(freeBytes - bytes, reservedBytes + (record.team to taken + bytes))
    }

    companion object {
        /** The maximum size of a written document. */
        const val DOCUMENT_BYTES = 900_000

        /** The space for accepted jobs; the rest is for the worker list and cancellations. */
        const val ACCEPTED_BYTES = 800_000

        /** The maximum size of one job's record. */
        const val JOB_BYTES = 200_000

        /** The maximum of a team's reserved bytes, as a multiple of the bytes left free. */
        private const val TEAM_TO_FREE_RATIO = 2

        /** The most bytes that the end of a job adds, besides its reason and indices. */
        private const val MAX_END_BYTES = 70

        /** Returns the space in [document]. */
        fun of(document: ShardDocument): DocumentSpace {
            val open = document.jobs.filter { it.state == JobState.ACCEPTED }
            val free = ACCEPTED_BYTES - document.print().toByteArray().size - open.sumOf(::growth)
            val taken = open.groupBy { it.team }.mapValues { (_, jobs) -> jobs.sumOf(::maxBytes) }
            return DocumentSpace(free, taken)
        }

        /** Returns the maximum size to which [record] may grow. */
        fun maxBytes(record: JobRecord): Int =
            Json.encodeToString(JobRecord.serializer(), record).toByteArray().size + growth(record)

        /** Returns why [record] is too large to be ever accepted, or null if it is not. */
        fun sizeRejection(record: JobRecord): String? {
            val bytes = maxBytes(record)
            if (bytes <= JOB_BYTES) return null
            return "its ${record.tasks} tasks may take $bytes bytes of its shard's document, " +
                "more than the $JOB_BYTES of one job"
        }

        /**
         * Returns the most bytes that may be added to [record].
         *
         * In the worst order of completions, every second index is a range of its own. A job that
         * ends loses its spec, which makes space for the reason.
         */
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
