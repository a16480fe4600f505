/**
 * The port to a key-value service with transactions over several keys.
 *
 * It is the platform's service of [KeyValueStore] where that can change several keys at once. All
 * calls block the calling thread; an adapter bounds each by a timeout.
 */
package sycamoremast.coordination

import arrow.core.Either
import kotlin.time.Duration

/** Access to a transactional key-value service. */
interface TransactionalStore {
    /** Returns the entry at [key], or null; one that [mayBeStale] costs less. */
    fun get(key: String, mayBeStale: Boolean = false): Either<StoreError, StoreEntry?>

    /** Returns all entries whose keys start with [prefix], which are no snapshot. */
    fun list(prefix: String): Either<StoreError, StoreListing>

    /** Returns what changed under [prefix] after [revision], waiting up to [wait] for a change. */
    fun changes(prefix: String, revision: Long, wait: Duration): Either<StoreError, StoreChanges>

    /** Returns the outcome of [transaction], which takes effect whole or not at all. */
    fun commit(transaction: StoreTransaction): Either<StoreError, CommitResult>

    /** Returns a new lease that lapses unless it is kept alive within [ttl]. */
    fun grantLease(ttl: Duration): Either<StoreError, LeaseId>

    /** Returns whether [lease] still existed and was prolonged by its full time to live. */
    fun keepAlive(lease: LeaseId): Either<StoreError, Boolean>

    /** Ends [lease] at once and deletes its keys. */
    fun revokeLease(lease: LeaseId): Either<StoreError, Unit>
}

/** Writes [puts] and deletes [deletes] if every key of [expected] is at its revision there. */
data class StoreTransaction(
    val expected: Map<String, Long>,
    val puts: List<StorePut>,
    val deletes: List<String> = emptyList()
)

/** Writes [value] at [key]; with a [lease] the key goes when that ends. */
data class StorePut(val key: String, val value: String, val lease: LeaseId? = null)

/** What became of a transaction. */
sealed interface CommitResult {
    /** It took effect at [revision]. */
    data class Applied(val revision: Long) : CommitResult

    /** A key was at another revision; [current] holds the expected keys that exist. */
    data class Conflict(val current: Map<String, StoreEntry>) : CommitResult

    /** A lease that it named has ended. */
    data object LeaseGone : CommitResult
}

/** What a watch saw. */
sealed interface StoreChanges {
    /** The [changes] up to [revision], in order. */
    data class Seen(val changes: List<StoreChange>, val revision: Long) : StoreChanges

    /** The store no longer has this part of its history; the prefix has to be listed again. */
    data object HistoryGone : StoreChanges
}

/** A change of [key]; a null [value] is a deletion. */
data class StoreChange(val key: String, val value: String?, val revision: Long)
