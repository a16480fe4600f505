/**
 * Group commit for one document in the key-value service.
 *
 * Callers hand in pure changes and block for their own outcomes. The changes that wait together are
 * applied one after another and written by one compare-and-swap. After a conflict they are applied
 * again to the newer document. A lost answer is resolved by reading back the writer's id and
 * sequence number; the same write may then be sent again only against the same version, where at
 * most one of the two can take effect.
 *
 * The document must not be deleted while it has writers.
 */
package sycamoremast.coordination.store

import arrow.core.Either
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.StoreError

/** The bounds of a [DocumentWriter]; [commitTimeout] bounds one group of changes. */
data class WriterLimits(
    val commitTimeout: Duration = 5.seconds,
    val backoff: Backoff = Backoff(),
    val maxBytes: Int = 900_000
)

/** Writes the document at [key]; safe to use from any thread. */
class DocumentWriter internal constructor(val key: String, private val swapper: DocumentSwapper) {
    private val waiting = ConcurrentLinkedQueue<PendingChange<*>>()
    private val commitLock = ReentrantLock(true)

    /**
     * Returns the outcome of [change], which maps the current body, or null, to a new body.
     *
     * The change may be called several times and must depend on nothing but its argument. A body
     * equal to the current one is committed without a write.
     */
    fun <R> commit(change: (String?) -> Either<R, String>): CommitOutcome<R> {
        val pending = PendingChange(change)
        waiting.add(pending)
        commitLock.withLock {
            while (!pending.isComplete) swapper.commit(takeWaiting())
        }
        return pending.result()
    }

    /**
     * Returns the document as it now stands in the service, or null where there is none.
     *
     * @throws IllegalArgumentException if the key holds something else
     */
    fun read(): Either<StoreError, VersionedDocument?> = swapper.read()

    /** The changes that no group has taken yet. */
    internal val waitingChangeCount get() = waiting.size

    private fun takeWaiting(): List<PendingChange<*>> {
        val group = mutableListOf<PendingChange<*>>()
        while (group.size < MAX_GROUP) {
            group += waiting.poll() ?: break
        }
        return group
    }

    companion object {
        private const val MAX_GROUP = 512

        /** Returns a writer of the document at [key], with a writer id of its own. */
        fun create(
            store: KeyValueStore,
            key: String,
            budget: CallBudget,
            limits: WriterLimits = WriterLimits(),
            timing: Timing = Timing(),
            writerId: String = UUID.randomUUID().toString()
        ): DocumentWriter {
            val calls = BudgetedCalls(budget, limits, timing)
            return DocumentWriter(key, DocumentSwapper(store, key, calls, limits, writerId))
        }
    }
}

/** A document's [body] at the service's [version]. */
data class VersionedDocument(val body: String, val version: Long)

/** A change that waits for its [outcome]. */
internal class PendingChange<R>(private val change: (String?) -> Either<R, String>) {
    @Volatile
    private var outcome: Result<CommitOutcome<R>>? = null

    private var rejection: CommitOutcome<R>? = null
    private var thrown: Throwable? = null

    /** Whether the change has its outcome. */
    val isComplete get() = outcome != null

    /** Returns the outcome, or throws what the change itself has thrown. */
    fun result(): CommitOutcome<R> = checkNotNull(outcome).getOrThrow()

    /** Returns the body after this change, or [body] itself if it was rejected. */
    fun apply(body: String?, maxBytes: Int): String? {
        rejection = null
        val changed = runCatching { change(body) }.getOrElse {
            thrown = it
            return body
        }
        return when (changed) {
            is Either.Left -> body.also { reject(CommitOutcome.Rejected(changed.value)) }
            is Either.Right -> withinSize(body, changed.value, maxBytes)
        }
    }

    /**
     * Ends this change as [result], unless it was rejected.
     *
     * A rejection counts only if the document that it was based on is known to be current.
     */
    fun complete(result: CommitOutcome<Nothing>) {
        val rejected = rejection
        outcome = when {
            thrown != null -> Result.failure(checkNotNull(thrown))
            rejected == null -> Result.success(result)
            else -> Result.success(rejected.ifConfirmedBy(result))
        }
    }

    private fun CommitOutcome<R>.ifConfirmedBy(result: CommitOutcome<Nothing>) = when (result) {
        is CommitOutcome.Unknown ->
            CommitOutcome.NotCommitted(result.step, result.peer, result.reason)

        is CommitOutcome.NotCommitted -> result

        else -> this
    }

    private fun reject(reason: CommitOutcome<R>) {
        rejection = reason
    }

    private fun withinSize(body: String?, changed: String, maxBytes: Int): String? {
        val bytes = StoredDocument.encodedBytes(changed)
        if (bytes <= maxBytes) return changed
        reject(CommitOutcome.NotCommitted("size", "", "$bytes bytes exceed $maxBytes"))
        return body
    }
}
