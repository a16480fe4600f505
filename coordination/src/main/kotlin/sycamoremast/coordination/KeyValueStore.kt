/**
 * The port to the platform's key-value service.
 *
 * The service offers compare-and-swap on single keys, leases that delete their keys when they
 * lapse, and watches. Transactions over several keys are not required. All calls block the calling
 * thread; an adapter limits each by a timeout.
 */
package sycamoremast.coordination

import arrow.core.Either
import kotlin.time.Duration

/** Access to the platform's key-value service. */
interface KeyValueStore {
    /** Returns the entry at [key], or null if there is none. */
    fun get(key: String): Either<StoreError, StoreEntry?>

    /** Returns the entries whose keys start with [prefix], ordered by key. */
    fun list(prefix: String): Either<StoreError, StoreListing>

    /**
     * Writes [value] at [key] if its version is still [expected], and returns the outcome.
     *
     * An [expected] version of [StoreEntry.ABSENT] requires that the key does not exist. With a
     * [lease], the key is deleted when that lease lapses.
     */
    fun compareAndSwap(
        key: String,
        expected: Long,
        value: String,
        lease: LeaseId? = null
    ): Either<StoreError, SwapOutcome>

    /** Deletes [key] if its version is still [expected], and returns the outcome. */
    fun compareAndDelete(key: String, expected: Long): Either<StoreError, SwapOutcome>

    /** Grants a new lease that lapses unless it is kept alive within [ttl]. */
    fun grantLease(ttl: Duration): Either<StoreError, LeaseId>

    /** Renews [lease] for its full time to live; returns false if it no longer exists. */
    fun keepAlive(lease: LeaseId): Either<StoreError, Boolean>

    /** Ends [lease] at once and deletes its keys. */
    fun revokeLease(lease: LeaseId): Either<StoreError, Unit>

    /**
     * Starts a watch on all keys that start with [prefix], from [fromRevision] on.
     *
     * Closing the result ends the watch. [listener] is called on a thread of the adapter. The watch
     * does not restart by itself.
     */
    fun watch(prefix: String, fromRevision: Long, listener: WatchListener): AutoCloseable
}

/** Identifies a lease that the key-value service granted. */
@JvmInline
value class LeaseId(val value: Long)

/** An entry; [version] is the service's revision at its last change and only increases. */
data class StoreEntry(val key: String, val value: String, val version: Long) {
    companion object {
        /** The version of a key that does not exist. */
        const val ABSENT = 0L
    }
}

/** The [entries] of a listing, read at the service's [revision]. */
data class StoreListing(val entries: List<StoreEntry>, val revision: Long)

/** The outcome of a compare-and-swap or compare-and-delete. */
sealed interface SwapOutcome {
    /** The change took effect; the key now has this [version]. */
    data class Applied(val version: Long) : SwapOutcome

    /** The key has another version; [current] is null if it does not exist. */
    data class Conflict(val current: StoreEntry?) : SwapOutcome
}

/** Receives the changes that a watch reports. */
interface WatchListener {
    /** Called for each change, in order of revision; a null [value] is a deletion. */
    fun onChange(key: String, value: String?, revision: Long)

    /** Called once when the watch has ended, with the error that ended it, if any. */
    fun onEnd(error: StoreError?)
}

/** A failed call on the key-value service, with the [step] and the [peer] at which it failed. */
sealed interface StoreError {
    val step: String
    val peer: String
    val reason: String

    /** The call is known to have had no effect. */
    data class NotSent(
        override val step: String,
        override val peer: String,
        override val reason: String
    ) : StoreError

    /** The call may or may not have taken effect. */
    data class AnswerLost(
        override val step: String,
        override val peer: String,
        override val reason: String
    ) : StoreError
}
