/**
 * Group commit for one document in the key-value service.
 *
 * Callers submit pure changes and block until the outcome of their own change is known. All waiting
 * changes are applied one after another and written by one compare-and-swap. After a conflict they
 * are applied again to the newer document. If an answer is lost, the document is read back and
 * searched for the writer's id and sequence number. The same write is sent again only against the
 * same version, so that at most one of the two writes can take effect.
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

/** The limits of a [DocumentWriter]; [commitTimeout] applies to one group of changes. */
data class WriterLimits(
    val commitTimeout: Duration = 5.seconds,
    val backoff: Backoff = Backoff(),
    val maxBytes: Int = 900_000
)

/** Writes the document at [key]; thread-safe. */
class DocumentWriter internal constructor(val key: String, private val swapper: DocumentSwapper) {
    private val waiting = ConcurrentLinkedQueue<PendingChange<*>>()
    private val commitLock = ReentrantLock(true)

    /**
     * Commits [change] and returns its outcome.
     *
     * [change] maps the current body, or null if there is none, to the new body or a rejection. It
     * may be called several times and must be a pure function of its argument. A new body equal to
     * the current one is committed without a write.
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
     * Returns the current document in the service, or null if there is none.
     *
     * @throws IllegalArgumentException if the key holds something else
     */
    fun read(): Either<StoreError, VersionedDocument?> = swapper.read()

    /** The number of changes that are not yet part of a group. */
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

        /** Returns a writer of the document at [key]; its [writerId] must be unique. */
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

/** A submitted change and, once it is complete, its [outcome]. */
internal class PendingChange<R>(private val change: (String?) -> Either<R, String>) {
    @Volatile
    private var outcome: Result<CommitOutcome<R>>? = null

    private var rejection: CommitOutcome<R>? = null
    private var thrown: Throwable? = null

    /** Whether the change has its outcome. */
    val isComplete get() = outcome != null

    /** Returns the outcome, or rethrows the exception of the change itself. */
    fun result(): CommitOutcome<R> = checkNotNull(outcome).getOrThrow()

    /** Returns the body after this change, or [body] itself if the change does not apply. */
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
     * Completes this change with [result], the outcome of its group, unless it was rejected.
     *
     * A rejection counts only if the document that it was based on is confirmed to be current.
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
