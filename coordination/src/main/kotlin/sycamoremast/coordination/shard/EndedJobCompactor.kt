/**
 * Bounds the size that ended jobs take in a shard's document.
 *
 * The records of older ended jobs are reduced to their names. If there are too many names, the
 * oldest ones that the team's configuration no longer lists are removed. The revision of that
 * configuration is recorded in the same change, so that an older revision can't run a job again.
 */
package sycamoremast.coordination.shard

import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

internal class EndedJobCompactor(
    private val settings: ShardSettings,
    private val tasks: TaskTable
) {
    /** Submits the compaction changes that are due for [document], which has no pending changes. */
    fun compact(
        document: ShardDocument,
        listed: Map<String, ShardEvent.JobsListed>,
        submit: (DocumentChange) -> Unit
    ) {
        recordRemoval(document)?.let(submit)
        nameRemoval(document, listed)?.let(submit)
    }

    /** Returns the change that reduces older ended jobs to their names, or null if none is due. */
    private fun recordRemoval(document: ShardDocument): DocumentChange? {
        val ended = document.jobs.filter { it.state != JobState.ACCEPTED }
        if (!exceedsSlack(ended.size, settings.retainedEndedJobs)) return null
        val keys = ended.dropLast(settings.retainedEndedJobs)
            .map { it.key }
            .filterTo(LinkedHashSet()) { tasks.jobs[it]?.activeAttempts?.isEmpty() == true }
        return DocumentChange.CompactJobs(keys).takeIf { keys.isNotEmpty() }
    }

    /** Returns the change that removes the oldest names of the team with the most, or null. */
    private fun nameRemoval(
        document: ShardDocument,
        listed: Map<String, ShardEvent.JobsListed>
    ): DocumentChange? {
        val total = document.ended.values.sumOf { it.size }
        if (!exceedsSlack(total, settings.retainedEndedNames)) return null
        val excess = total - settings.retainedEndedNames
        return document.ended.entries.sortedByDescending { it.value.size }.firstNotNullOfOrNull {
            val event = listed[it.key]
            val known = document.revisions[it.key] ?: 0
            if (event == null || event.revision < known) return@firstNotNullOfOrNull null
            val names = it.value.oldestExcept(event.jobs.keys, excess)
            DocumentChange.RemoveNames(it.key, event.revision, names).takeIf { names.size > 0 }
        }
    }

    /** Whether [count] exceeds [kept] by enough to justify the cost of a write. */
    private fun exceedsSlack(count: Int, kept: Int) = count > kept + kept / SLACK_DIVISOR

    private companion object {
        /** A write is due once the count exceeds the limit by the limit divided by this. */
        const val SLACK_DIVISOR = 4
    }
}
