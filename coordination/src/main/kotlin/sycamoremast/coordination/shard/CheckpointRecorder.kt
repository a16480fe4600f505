/**
 * Which checkpoints are recorded, so that they outlive the owner and the worker together.
 *
 * Once in a period, the checkpoints that are worth it go into the document in one write, as far as
 * it has room for them beyond what accepted jobs may need.
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
    private var dueMillis = Long.MIN_VALUE

    /** Submits the checkpoints that [document] lacks, if they are due at [nowMillis]. */
    fun record(document: ShardDocument, nowMillis: Long, submit: (DocumentChange) -> Unit) {
        if (nowMillis < dueMillis) return
        dueMillis = nowMillis + settings.checkpointPeriodMillis
        val found = tasks.jobs.values
            .filter { it.isOpen && !tasks.isNeverRepeated(it) }
            .associateWith { worthRecording(it) }
            .filterValues { it.isNotEmpty() }
        if (found.isEmpty()) return
        var left = DocumentSpace.of(document).freeBytes / CHECKPOINT_BYTES
        for ((job, checkpoints) in found) {
            val taken = checkpoints.entries.take(left.coerceAtLeast(0))
            if (taken.isEmpty()) return
            left -= taken.size
            val recorded = taken.associate { it.key to it.value }
            submit(DocumentChange.RecordCheckpoints(job.key, recorded))
        }
    }

    private fun worthRecording(job: JobRow): Map<Int, Checkpoint> =
        job.checkpoints.filter { (index, checkpoint) ->
            val recorded = job.record.checkpoints[index]?.doneMillis ?: 0
            val gained = checkpoint.doneMillis - recorded
            gained >= settings.checkpointPeriodMillis / 2 && !job.isDecided(index)
        }

    private companion object {
        /** The most bytes of one checkpoint in the document. */
        const val CHECKPOINT_BYTES = 90
    }
}
