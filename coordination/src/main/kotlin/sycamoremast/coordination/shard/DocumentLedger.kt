/**
 * Keeps the owner's copy of the shard's document in sync with the key-value store.
 *
 * At most one call is in flight. Changes submitted meanwhile are batched into the next write. If
 * the answer to a write is lost, the document is read back to find out whether it was applied.
 */
package sycamoremast.coordination.shard

import arrow.core.Either
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.ShardDocument

/** The effect of a store answer on the document. */
internal sealed interface LedgerOutcome {
    /** The answer changed nothing: it was stale, or the call has to be retried. */
    data object Undecided : LedgerOutcome

    /** The [changes] of the write in flight are durable. */
    data class Applied(val changes: List<DocumentChange>) : LedgerOutcome

    /** The document was read; changes that it does not contain are queued for the next write. */
    data object Refreshed : LedgerOutcome
}

internal class DocumentLedger(private val writer: String, private val backoff: ExponentialBackoff) {
    var document = ShardDocument()
        private set
    private var version = StoreEntry.ABSENT
    private var pending = ArrayList<DocumentChange>()
    private var inFlight: SentWrite? = null
    private var sequence = 0L
    private var pendingCall: Long? = null
    private var isReadNeeded = true
    private var pendingStarts = 0

    /** The size of the document in bytes, as last read or sent. */
    var sizeBytes = 0
        private set

    /** Whether the document has space for the start record of one more never-repeated task. */
    val hasSpaceForStart: Boolean
        get() = sizeBytes + (pendingStarts + 1) * MAX_START_BYTES <= START_SIZE_LIMIT_BYTES

    /** Whether all submitted changes are durable. */
    val isFlushed: Boolean get() = pending.isEmpty() && inFlight == null

    /** Whether no write that changes the recorded set of workers is in flight. */
    val isWorkerSetCertain: Boolean
        get() = inFlight?.changes.orEmpty().none {
            it is DocumentChange.AddWorkers || it is DocumentChange.RemoveWorkers
        }

    /** Discards all changes and requires an immediate read of the document. */
    fun reset() {
        backoff.reset()
        pending = ArrayList()
        inFlight = null
        pendingCall = null
        isReadNeeded = true
        pendingStarts = 0
    }

    fun submit(change: DocumentChange) {
        pending += change
        if (change is DocumentChange.RecordStart) pendingStarts++
    }

    /** Returns the document with all submitted changes applied. */
    fun projected(): ShardDocument =
        document.with(inFlight?.changes.orEmpty() + pending, writer, sequence)

    fun requireRead() {
        isReadNeeded = true
    }

    /** Returns the next call to the store, or null if none is due. */
    fun nextCall(nowMillis: Long, newCall: () -> Long): ShardAction? {
        if (pendingCall != null || !backoff.isAttemptDue(nowMillis)) return null
        if (isReadNeeded) return ShardAction.ReadDocument(newCall().also { pendingCall = it })
        if (pending.isEmpty()) return null
        val write = SentWrite(++sequence, pending)
        pending = ArrayList()
        inFlight = write
        val text = document.with(write.changes, writer, write.sequence).print()
        sizeBytes = text.toByteArray().size
        pendingStarts = 0
        return ShardAction.WriteDocument(newCall().also { pendingCall = it }, version, text)
    }

    /** The time of the next [nextCall] that returns a call, if no answer or change comes first. */
    val wakeMillis: Long
        get() = when {
            pendingCall != null || (!isReadNeeded && pending.isEmpty()) -> Long.MAX_VALUE
            else -> backoff.nextAttemptMillis
        }

    fun onWritten(event: ShardEvent.DocumentWritten, nowMillis: Long): LedgerOutcome {
        if (event.call != pendingCall) return LedgerOutcome.Undecided
        pendingCall = null
        return when (val result = event.result) {
            is Either.Left -> onWriteFailed(result.value, nowMillis)
            is Either.Right -> onSwapped(result.value)
        }
    }

    fun onRead(event: ShardEvent.DocumentRead, nowMillis: Long): LedgerOutcome {
        if (event.call != pendingCall) return LedgerOutcome.Undecided
        pendingCall = null
        return when (val result = event.result) {
            is Either.Left -> {
                backoff.recordFailure(nowMillis)
                LedgerOutcome.Undecided
            }

            is Either.Right -> load(result.value)
        }
    }

    private fun onWriteFailed(error: StoreError, nowMillis: Long): LedgerOutcome {
        backoff.recordFailure(nowMillis)
        when (error) {
            is StoreError.NotSent -> requeueInFlight()
            is StoreError.AnswerLost -> isReadNeeded = true
        }
        return LedgerOutcome.Undecided
    }

    private fun onSwapped(outcome: SwapOutcome): LedgerOutcome {
        val write = inFlight ?: return LedgerOutcome.Undecided
        return when (outcome) {
            is SwapOutcome.Conflict -> load(outcome.current)

            is SwapOutcome.Applied -> {
                document = document.with(write.changes, writer, write.sequence)
                version = outcome.version
                inFlight = null
                backoff.reset()
                LedgerOutcome.Applied(write.changes)
            }
        }
    }

    private fun load(entry: StoreEntry?): LedgerOutcome {
        backoff.reset()
        isReadNeeded = false
        version = entry?.version ?: StoreEntry.ABSENT
        document = entry?.let { ShardDocument.parseOrNull(it.value) } ?: ShardDocument()
        sizeBytes = entry?.value?.toByteArray()?.size ?: 0
        val write = inFlight ?: return LedgerOutcome.Refreshed
        if (document.hasWrite(writer, write.sequence)) {
            inFlight = null
            return LedgerOutcome.Applied(write.changes)
        }
        requeueInFlight()
        return LedgerOutcome.Refreshed
    }

    private fun requeueInFlight() {
        val write = inFlight ?: return
        pending = ArrayList(write.changes + pending)
        pendingStarts = pending.count { it is DocumentChange.RecordStart }
        inFlight = null
    }

    private companion object {
        /** The maximum size of one start record. */
        const val MAX_START_BYTES = 250

        /** The document size above which no more starts are recorded. */
        const val START_SIZE_LIMIT_BYTES = 850_000
    }

    private data class SentWrite(val sequence: Long, val changes: List<DocumentChange>)
}
