/** Changes of a shard's document by a host that need not own the shard. */
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
 * Writes changes that arrive together as one, so that a wave of them costs few writes.
 *
 * The shard's owner merges them, as its own next write meets a conflict or it reads them before.
 */
internal class DocumentEditor(
    private val store: KeyValueStore,
    private val key: String,
    private val writer: String
) {
    private val queue = ConcurrentLinkedQueue<Edit>()
    private var sequence = 0L

    /** Returns the document that has [change], once that is durable. */
    fun apply(change: DocumentChange): Either<StoreError, ShardDocument> {
        val edit = Edit(change)
        queue += edit
        synchronized(this) {
            if (edit.result == null) writeQueued()
        }
        return requireNotNull(edit.result) { "the edit was not written: $change" }
    }

    private fun writeQueued() {
        val edits = generateSequence { queue.poll() }.toList()
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
