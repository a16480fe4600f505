/**
 * How a shard's document is kept from growing with the jobs that have ended.
 *
 * The records of the older ended jobs give way to their names. Of more names than are to be kept,
 * the oldest that the team's configuration no longer lists are forgotten; the revision of that
 * configuration is recorded with it, so that an older one can't bring a job back.
 */
package sycamoremast.coordination.shard

import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

internal class EndedJobs(private val settings: ShardSettings, private val tasks: TaskTable) {
    /** Submits what makes [document], which has no change under way, smaller. */
    fun shrink(
        document: ShardDocument,
        listed: Map<String, ShardEvent.JobsListed>,
        submit: (DocumentChange) -> Unit
    ) {
        compaction(document)?.let(submit)
        forgetting(document, listed)?.let(submit)
    }

    /** Returns the change that keeps only the names of older ended jobs, or null if none is due. */
    private fun compaction(document: ShardDocument): DocumentChange? {
        val ended = document.jobs.filter { it.state != JobState.ACCEPTED }
        if (!isOver(ended.size, settings.keptEndedJobs)) return null
        val keys = ended.dropLast(settings.keptEndedJobs)
            .map { it.key }
            .filterTo(LinkedHashSet()) { tasks.jobs[it]?.live?.isEmpty() == true }
        return DocumentChange.CompactJobs(keys).takeIf { keys.isNotEmpty() }
    }

    /** Returns the change that forgets the oldest names of the team with most, or null. */
    private fun forgetting(
        document: ShardDocument,
        listed: Map<String, ShardEvent.JobsListed>
    ): DocumentChange? {
        val total = document.ended.values.sumOf { it.size }
        if (!isOver(total, settings.rememberedNames)) return null
        val excess = total - settings.rememberedNames
        return document.ended.entries.sortedByDescending { it.value.size }.firstNotNullOfOrNull {
            val event = listed[it.key]
            val known = document.revisions[it.key] ?: 0
            if (event == null || event.revision < known) return@firstNotNullOfOrNull null
            val names = it.value.oldestExcept(event.jobs.keys, excess)
            DocumentChange.RemoveNames(it.key, event.revision, names).takeIf { names.size > 0 }
        }
    }

    /** Whether [count] is so far over [kept] that a write is worth its cost. */
    private fun isOver(count: Int, kept: Int) = count > kept + kept / SLACK

    private companion object {
        /** The part of what is kept that may gather before it is removed, as a divisor. */
        const val SLACK = 4
    }
}
