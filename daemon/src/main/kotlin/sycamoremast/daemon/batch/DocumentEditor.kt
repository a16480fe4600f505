/** Edits a shard's document from any host, whether or not it owns the shard. */
package sycamoremast.daemon.batch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.ConcurrentLinkedQueue
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.ShardDocument

/**
 * Applies changes by compare-and-swap, and batches concurrent changes into one write.
 *
 * The shard's owner merges the changes when it next reads the document, at the latest after a
 * conflict on its own next write.
 */
internal class DocumentEditor(
    private val store: KeyValueStore,
    private val key: String,
    private val writer: String
) {
    private val pending = ConcurrentLinkedQueue<Edit>()
    private var sequence = 0L

    /** Applies [change] and returns the changed document once it is durable. */
    fun apply(change: DocumentChange): Either<StoreError, ShardDocument> {
        val edit = Edit(change)
        pending += edit
        synchronized(this) {
            if (edit.result == null) writePending()
        }
        return requireNotNull(edit.result) { "the edit has no result: $change" }
    }

    private fun writePending() {
        val edits = generateSequence { pending.poll() }.toList()
        val result = write(edits.map { it.change })
        edits.forEach { it.result = result }
    }

    private fun write(changes: List<DocumentChange>): Either<StoreError, ShardDocument> {
        val number = ++sequence
        var lastError: StoreError = StoreError.NotSent(STEP, key, "no attempt was made")
        repeat(ATTEMPTS) {
            val entry = when (val read = store.get(key)) {
                is Either.Left -> return@repeat run { lastError = read.value }
                is Either.Right -> read.value
            }
            val document = entry?.let { ShardDocument.parseOrNull(it.value) } ?: ShardDocument()
            // An earlier attempt may have been applied although its response was lost.
            if (document.hasWrite(writer, number)) return document.right()
            val next = document.with(changes, writer, number)
            val expected = entry?.version ?: StoreEntry.ABSENT
            when (val swap = store.compareAndSwap(key, expected, next.print())) {
                is Either.Left -> lastError = swap.value
                is Either.Right -> if (swap.value is SwapOutcome.Applied) return next.right()
            }
        }
        return lastError.left()
    }

    private class Edit(val change: DocumentChange) {
        var result: Either<StoreError, ShardDocument>? = null
    }

    private companion object {
        const val STEP = "edit-shard"
        const val ATTEMPTS = 5
    }
}
