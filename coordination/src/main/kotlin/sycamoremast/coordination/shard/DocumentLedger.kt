/**
 * The owner's copy of the shard's document and the changes on their way into it.
 *
 * At most one call is under way. All changes that arrive meanwhile go into the next write together.
 * A write whose answer was lost is decided by reading the document back.
 */
package sycamoremast.coordination.shard

import arrow.core.Either
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.ShardDocument

/** What an answer of the service meant for the document. */
internal sealed interface LedgerOutcome {
    /** Nothing is decided yet. */
    data object Undecided : LedgerOutcome

    /** These changes are durable. */
    data class Applied(val changes: List<DocumentChange>) : LedgerOutcome

    /** The document was read; changes that it lacked wait for the next write. */
    data object Refreshed : LedgerOutcome
}

internal class DocumentLedger(private val writer: String, private val backOff: BackOff) {
    var document = ShardDocument()
        private set
    private var version = StoreEntry.ABSENT
    private var waiting = ArrayList<DocumentChange>()
    private var sent: SentWrite? = null
    private var sequence = 0L
    private var call: Long? = null
    private var readNeeded = true
    private var startsWaiting = 0

    /** The size of the document as it was last read or sent. */
    var bytes = 0
        private set

    /** Whether the start of one more never-repeated task can be recorded. */
    val hasRoomForStart: Boolean
        get() = bytes + (startsWaiting + 1) * START_BYTES <= STARTS_BYTES

    /** Whether every change is durable. */
    val isSettled: Boolean get() = waiting.isEmpty() && sent == null

    /** Whether the recorded set of workers is known, no change of it being under way. */
    val isWorkerSetCertain: Boolean
        get() = sent?.changes.orEmpty().none {
            it is DocumentChange.AddWorkers || it is DocumentChange.RemoveWorkers
        }

    /** Forgets all changes; the document is read anew, and at once. */
    fun reset() {
        backOff.succeeded()
        waiting = ArrayList()
        sent = null
        call = null
        readNeeded = true
        startsWaiting = 0
    }

    fun submit(change: DocumentChange) {
        waiting += change
        if (change is DocumentChange.RecordStart) startsWaiting++
    }

    /** Returns the document as it will be once every change is durable. */
    fun projected(): ShardDocument =
        document.with(sent?.changes.orEmpty() + waiting, writer, sequence)

    fun requireRead() {
        readNeeded = true
    }

    /** Returns the next call on the service, if one is due. */
    fun nextCall(nowMillis: Long, newCall: () -> Long): ShardAction? {
        if (call != null || !backOff.isOver(nowMillis)) return null
        if (readNeeded) return ShardAction.ReadDocument(newCall().also { call = it })
        if (waiting.isEmpty()) return null
        val write = SentWrite(++sequence, waiting)
        waiting = ArrayList()
        sent = write
        val text = document.with(write.changes, writer, write.sequence).print()
        bytes = text.toByteArray().size
        startsWaiting = 0
        return ShardAction.WriteDocument(newCall().also { call = it }, version, text)
    }

    /** When [nextCall] returns a call, unless an answer or a change comes first. */
    val wakeMillis: Long
        get() = when {
            call != null || (!readNeeded && waiting.isEmpty()) -> Long.MAX_VALUE
            else -> backOff.overMillis
        }

    fun onWritten(event: ShardEvent.DocumentWritten, nowMillis: Long): LedgerOutcome {
        if (event.call != call) return LedgerOutcome.Undecided
        call = null
        return when (val result = event.result) {
            is Either.Left -> onWriteFailed(result.value, nowMillis)
            is Either.Right -> onSwapped(result.value)
        }
    }

    fun onRead(event: ShardEvent.DocumentRead, nowMillis: Long): LedgerOutcome {
        if (event.call != call) return LedgerOutcome.Undecided
        call = null
        return when (val result = event.result) {
            is Either.Left -> {
                backOff.failed(nowMillis)
                LedgerOutcome.Undecided
            }

            is Either.Right -> adopt(result.value)
        }
    }

    private fun onWriteFailed(error: StoreError, nowMillis: Long): LedgerOutcome {
        backOff.failed(nowMillis)
        when (error) {
            is StoreError.NotSent -> resubmit()
            is StoreError.AnswerLost -> readNeeded = true
        }
        return LedgerOutcome.Undecided
    }

    private fun onSwapped(outcome: SwapOutcome): LedgerOutcome {
        val write = sent ?: return LedgerOutcome.Undecided
        return when (outcome) {
            is SwapOutcome.Conflict -> adopt(outcome.current)

            is SwapOutcome.Applied -> {
                document = document.with(write.changes, writer, write.sequence)
                version = outcome.version
                sent = null
                backOff.succeeded()
                LedgerOutcome.Applied(write.changes)
            }
        }
    }

    private fun adopt(entry: StoreEntry?): LedgerOutcome {
        backOff.succeeded()
        readNeeded = false
        version = entry?.version ?: StoreEntry.ABSENT
        document = entry?.let { ShardDocument.parseOrNull(it.value) } ?: ShardDocument()
        bytes = entry?.value?.toByteArray()?.size ?: 0
        val write = sent ?: return LedgerOutcome.Refreshed
        if (document.hasWrite(writer, write.sequence)) {
            sent = null
            return LedgerOutcome.Applied(write.changes)
        }
        resubmit()
        return LedgerOutcome.Refreshed
    }

    private fun resubmit() {
        val write = sent ?: return
        waiting = ArrayList(write.changes + waiting)
        startsWaiting = waiting.count { it is DocumentChange.RecordStart }
        sent = null
    }

    private companion object {
        /** The most bytes of the record of a start. */
        const val START_BYTES = 250

        /** The size up to which starts are recorded. */
        const val STARTS_BYTES = 850_000
    }

    private data class SentWrite(val sequence: Long, val changes: List<DocumentChange>)
}
