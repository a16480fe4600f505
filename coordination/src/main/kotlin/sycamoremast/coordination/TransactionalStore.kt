/**
 * The port to a key-value service with transactions over several keys.
 *
 * It is the same service of the platform as behind [KeyValueStore], where that service can change
 * several keys at once. All calls block the calling thread; an adapter limits each by a timeout.
 */
package sycamoremast.coordination

import arrow.core.Either
import kotlin.time.Duration

/** Access to a transactional key-value service. */
interface TransactionalStore {
    /** Returns the entry at [key], or null if there is none; a [mayBeStale] read costs less. */
    fun get(key: String, mayBeStale: Boolean = false): Either<StoreError, StoreEntry?>

    /**
     * Returns the entries whose keys start with [prefix] and come after the key [after], in order,
     * as many as the service returns at once; a [mayBeStale] read costs less.
     */
    fun page(
        prefix: String,
        after: String = "",
        mayBeStale: Boolean = false
    ): Either<StoreError, StorePage>

    /**
     * Returns all entries whose keys start with [prefix], without a consistent snapshot; a
     * [mayBeStale] read costs less.
     */
    fun list(prefix: String, mayBeStale: Boolean = false): Either<StoreError, StoreListing> {
        val entries = ArrayList<StoreEntry>()
        return forEachPage(prefix, mayBeStale) { entries += it }
            .map { StoreListing(entries, it) }
    }

    /** Returns the changes under [prefix] after [revision], waiting up to [wait] for one. */
    fun changes(prefix: String, revision: Long, wait: Duration): Either<StoreError, StoreChanges>

    /** Commits [transaction] atomically and returns the outcome. */
    fun commit(transaction: StoreTransaction): Either<StoreError, CommitResult>

    /** Grants a new lease that lapses unless it is kept alive within [ttl]. */
    fun grantLease(ttl: Duration): Either<StoreError, LeaseId>

    /** Renews [lease] for its full time to live; returns false if it no longer exists. */
    fun keepAlive(lease: LeaseId): Either<StoreError, Boolean>

    /** Ends [lease] at once and deletes its keys. */
    fun revokeLease(lease: LeaseId): Either<StoreError, Unit>
}

/**
 * Passes all entries whose keys start with [prefix] to [onPage], a page at a time and in order, so
 * that they needn't be in memory at once; returns the revision from which to watch the prefix.
 *
 * The pages aren't read from one snapshot. The revision is that of the first, so that a watch from
 * there also returns the changes made between pages.
 */
inline fun TransactionalStore.forEachPage(
    prefix: String,
    mayBeStale: Boolean = false,
    onPage: (List<StoreEntry>) -> Unit
): Either<StoreError, Long> {
    var revision: Long? = null
    var after = ""
    while (true) {
        val page = when (val read = page(prefix, after, mayBeStale)) {
            is Either.Left -> return read
            is Either.Right -> read.value
        }
        onPage(page.entries)
        val first = revision ?: page.revision
        revision = first
        if (!page.hasMore || page.entries.isEmpty()) return Either.Right(first)
        after = page.entries.last().key
    }
}

/** Some [entries] under a prefix, read when the store was at [revision]. */
data class StorePage(val entries: List<StoreEntry>, val revision: Long, val hasMore: Boolean)

/** Writes [puts] and deletes [deletes] if all keys in [expected] have the given revisions. */
data class StoreTransaction(
    val expected: Map<String, Long>,
    val puts: List<StorePut>,
    val deletes: List<String> = emptyList()
)

/** Writes [value] at [key]; with a [lease], the key is deleted when the lease ends. */
data class StorePut(val key: String, val value: String, val lease: LeaseId? = null)

/** The outcome of a transaction. */
sealed interface CommitResult {
    /** The transaction took effect at [revision]. */
    data class Applied(val revision: Long) : CommitResult

    /** A key has another revision; [current] holds the expected keys that exist. */
    data class Conflict(val current: Map<String, StoreEntry>) : CommitResult

    /** A lease of the transaction has ended. */
    data object LeaseGone : CommitResult
}

/** The result of waiting for changes. */
sealed interface StoreChanges {
    /** The [changes] up to [revision], in order. */
    data class Seen(val changes: List<StoreChange>, val revision: Long) : StoreChanges

    /** The store has dropped this part of its history; the prefix has to be listed again. */
    data object HistoryGone : StoreChanges
}

/** A change of [key]; a null [value] is a deletion. */
data class StoreChange(val key: String, val value: String?, val revision: Long)
