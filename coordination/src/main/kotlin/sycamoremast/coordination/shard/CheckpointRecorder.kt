/**
 * Records task checkpoints in the shard's document.
 *
 * A recorded checkpoint survives the loss of both the owner and the worker. Once per checkpoint
 * period, checkpoints with enough new progress are written together, as far as the document has
 * space beyond what is reserved for accepted jobs.
 */
package sycamoremast.coordination.shard

import sycamoremast.coordination.Checkpoint
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.DocumentSpace
import sycamoremast.coordination.record.ShardDocument

internal class CheckpointRecorder(
    private val settings: ShardSettings,
    private val tasks: TaskTable
) {
    private var nextRecordMillis = Long.MIN_VALUE

    /** Submits the checkpoints that are missing from [document] if the period has elapsed. */
    fun record(document: ShardDocument, nowMillis: Long, submit: (DocumentChange) -> Unit) {
        if (nowMillis < nextRecordMillis) return
        nextRecordMillis = nowMillis + settings.checkpointPeriodMillis
        val due = tasks.jobs.values
            .filter { it.isOpen && !tasks.isNeverRepeated(it) }
            .associateWith { checkpointsToRecord(it) }
            .filterValues { it.isNotEmpty() }
        if (due.isEmpty()) return
        var remaining = DocumentSpace.of(document).freeBytes / MAX_CHECKPOINT_BYTES
        for ((job, checkpoints) in due) {
            val taken = checkpoints.entries.take(remaining.coerceAtLeast(0))
            if (taken.isEmpty()) return
            remaining -= taken.size
            val recorded = taken.associate { it.key to it.value }
            submit(DocumentChange.RecordCheckpoints(job.key, recorded))
        }
    }

    private fun checkpointsToRecord(job: JobRow): Map<Int, Checkpoint> =
        job.checkpoints.filter { (index, checkpoint) ->
            val recorded = job.record.checkpoints[index]?.doneMillis ?: 0
            val gained = checkpoint.doneMillis - recorded
            gained >= settings.checkpointPeriodMillis / 2 && !job.isDecided(index)
        }

    private companion object {
        /** The maximum size of one checkpoint in the document. */
        const val MAX_CHECKPOINT_BYTES = 90
    }
}
