/**
 * Writes an owner's records to the store, one transaction at a time.
 *
 * Each transaction is conditional on its predecessor: it expects the epoch key at the revision that
 * the predecessor wrote, and writes that key again. A transaction that the store applies late,
 * after a newer one, therefore has no effect, and neither has one of an owner that has been
 * replaced.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.StorePut
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.RecordBatch
import sycamoremast.coordination.workflow.RecordVersion
import sycamoremast.daemon.log.EventLog

/** Writes the records of worker set [set] in [term]. */
internal class RecordWriter(
    private val store: TransactionalStore,
    private val set: Int,
    private val term: Term,
    private val log: EventLog
) {
    private val epoch = term.epoch
    private var epochRevision = term.epochRevision

    /** The revision of the last batch that was written. */
    val revision: Long get() = epochRevision
    private var lastBatch = 0L
    private var lastFailure = ""

    /**
     * Writes [batch] and deletes what it forgets, at once.
     *
     * Returns true once [batch] is durable, or false if another owner has taken over.
     *
     * Blocks and retries while the store gives no definite answer and [shouldRetry] returns true;
     * returns false once it does not.
     */
    fun write(batch: RecordBatch, shouldRetry: () -> Boolean): Boolean {
        val next = EpochRecord(epoch, ++lastBatch)
        var failures = 0
        while (shouldRetry()) {
            val outcome = attempt(transaction(batch, next), next)
            if (outcome != null) {
                if (failures > 0) {
                    log.add("records-written", "batch" to next.batch, "failures" to failures)
                }
                return outcome
            }
            if (failures++ == 0) {
                log.add("records-delayed", "batch" to next.batch, "reason" to lastFailure)
            }
            Thread.sleep(RETRY_DELAY_MILLIS)
        }
        return false
    }

    private fun transaction(batch: RecordBatch, next: EpochRecord): StoreTransaction {
        val version = RecordVersion(epoch, next.batch)
        val puts = mutableListOf(StorePut(WorkflowKeys.epoch(set), encodeRecord(next)))
        batch.progress.mapTo(puts) { (id, progress) ->
            StorePut(WorkflowKeys.progress(set, id), encodeRecord(progress))
        }
        batch.rosterRecordOrNull(version, term.sightings.process.host)?.let {
            puts += StorePut(WorkflowKeys.roster(set), encodeRecord(it))
            puts += StorePut(WorkflowKeys.owner(set, OwnerDetail.ROSTER), encodeRecord(it.version))
        }
        if (batch.isHeartbeat) {
            puts += StorePut(WorkflowKeys.owner(set, OwnerDetail.HEARTBEAT), encodeRecord(version))
        }
        batch.waiting?.let {
            puts += StorePut(WorkflowKeys.waiting(set), encodeRecord(WaitingRecord(it)))
        }
        batch.interference?.let {
            puts += StorePut(WorkflowKeys.interference(set), encodeRecord(it))
        }
        val deletes = batch.forgotten.flatMap { (id, isCancelled) ->
            listOfNotNull(
                WorkflowKeys.progress(set, id),
                WorkflowKeys.job(id),
                WorkflowKeys.cancel(id).takeIf { isCancelled }
            )
        }
        return StoreTransaction(mapOf(WorkflowKeys.epoch(set) to epochRevision), puts, deletes)
    }

    /** Returns whether the transaction took effect, or null if that is unknown. */
    private fun attempt(transaction: StoreTransaction, next: EpochRecord): Boolean? {
        val result = when (val answer = store.commit(transaction)) {
            is Either.Left -> {
                lastFailure = answer.value.reason
                return null
            }

            is Either.Right -> answer.value
        }
        return when (result) {
            is CommitResult.Applied -> {
                epochRevision = result.revision
                true
            }

            is CommitResult.Conflict -> {
                val current = result.current[WorkflowKeys.epoch(set)]
                val record = current?.let { decodeRecordOrNull<EpochRecord>(it.value) }
                if (current == null || record?.epoch != epoch) {
                    log.add("records-refused", "epoch" to epoch, "current" to record?.epoch)
                    return false
                }
                // An earlier attempt took effect, of this batch or of one that was given up.
                epochRevision = current.version
                if (record == next) true else null
            }

            CommitResult.LeaseGone -> null
        }
    }

    private companion object {
        const val RETRY_DELAY_MILLIS = 150L
    }
}
