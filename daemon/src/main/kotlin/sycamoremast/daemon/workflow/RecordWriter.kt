/**
 * Makes an owner's records durable, one transaction after the other.
 *
 * Each transaction is conditional on the one before it: it expects the epoch's key at the revision
 * that the last one gave it and writes that key anew. A transaction that the store carries out late,
 * after a newer one, therefore has no effect, and so has any of an owner that was replaced.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.RecordBatch
import sycamoremast.daemon.log.EventLog

/** Writes for worker set [set] in [epoch], whose key was claimed at [epochRevision]. */
internal class RecordWriter(
    private val store: TransactionalStore,
    private val set: Int,
    private val epoch: Long,
    private var epochRevision: Long,
    private val log: EventLog
) {
    private var batchNumber = 0L

    /**
     * Returns whether [batch] is durable; false says that another owner has taken over.
     *
     * Blocks, and tries again, for as long as the store gives no definite answer and [isWanted].
     */
    fun write(batch: RecordBatch, isWanted: () -> Boolean): Boolean {
        val next = EpochRecord(epoch, batchNumber + 1)
        val transaction = transaction(batch, next)
        var failures = 0
        while (isWanted()) {
            val outcome = attempt(transaction, next)
            if (outcome != null) {
                if (failures > 0) {
                    log.add("records-written", "batch" to next.batch, "failures" to failures)
                }
                return outcome
            }
            if (failures++ == 0) log.add("records-delayed", "batch" to next.batch)
            Thread.sleep(RETRY_MILLIS)
        }
        return false
    }

    private fun transaction(batch: RecordBatch, next: EpochRecord): StoreTransaction {
        val puts = mutableListOf(StorePut(WorkflowKeys.epoch(set), encodeRecord(next)))
        batch.progress.mapTo(puts) { (id, progress) ->
            StorePut(WorkflowKeys.progress(set, id), encodeRecord(progress))
        }
        batch.roster?.let {
            val record = RosterRecord(it, epoch, batch.leasesLeft)
            puts += StorePut(WorkflowKeys.roster(set), encodeRecord(record))
        }
        batch.waiting?.let {
            puts += StorePut(WorkflowKeys.waiting(set), encodeRecord(WaitingRecord(it)))
        }
        return StoreTransaction(mapOf(WorkflowKeys.epoch(set) to epochRevision), puts)
    }

    /** Returns whether the transaction took effect, or null if that is not known yet. */
    private fun attempt(transaction: StoreTransaction, next: EpochRecord): Boolean? {
        val result = when (val answer = store.commit(transaction)) {
            is Either.Left -> return null
            is Either.Right -> answer.value
        }
        return when (result) {
            is CommitResult.Applied -> applied(result.revision)

            is CommitResult.Conflict -> {
                val current = result.current[WorkflowKeys.epoch(set)]
                val record = current?.let { decodeRecordOrNull<EpochRecord>(it.value) }
                // An earlier attempt of this transaction took effect and its answer was lost.
                if (current != null && record == next) return applied(current.version)
                log.add("records-refused", "epoch" to epoch, "current" to record?.epoch)
                false
            }

            CommitResult.LeaseGone -> null
        }
    }

    private fun applied(revision: Long): Boolean {
        epochRevision = revision
        batchNumber++
        return true
    }

    private companion object {
        /** The pause before a transaction without an answer is sent again. */
        const val RETRY_MILLIS = 150L
    }
}
