/**
 * Follows all keys under a prefix, across outages of the store and compaction of its history.
 *
 * The prefix is listed, then watched from the listing's revision. If the store no longer has the
 * history since that revision, the prefix is listed again. The store's client abandons a watch that
 * stays silent beyond its timeout, so that a silently dead connection delays a change only briefly.
 *
 * A watch returns all that was written since its revision, however often the same key was: after a
 * while without an answer that may be more than the network carries within the timeout.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreChanges
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.TransactionalStore
import sycamoremast.daemon.log.EventLog

/** Receives the entries and changes under a prefix, on the follower's thread. */
internal interface PrefixListener {
    /**
     * Whether a value replaces all earlier ones, so that these need not be read.
     *
     * If so, a prefix is listed again after a watch without an answer, and never catches up on all
     * values that it has missed.
     */
    val needsOnlyNewest: Boolean get() = false

    /** Called by [read] with all entries under the prefix. */
    fun onListing(listing: StoreListing) = Unit

    /**
     * Reads all entries under [prefix], at the start and after a gap in the history; returns the
     * revision from which to watch them.
     */
    fun read(store: TransactionalStore, prefix: String): Either<StoreError, Long> =
        store.list(prefix).onRight(::onListing).map { it.revision }

    /** Called for each change after the listing. */
    fun onChange(change: StoreChange)

    /** Called once all changes that the store had made by [asOfMillis] have been passed on. */
    fun onCurrent(asOfMillis: Long) = Unit
}

/**
 * Lists and watches [prefix], and passes the results to [listener] from a thread of its own.
 *
 * A prefix that has been read is only watched, from the [revision] that the reading returned.
 */
internal class PrefixFollower(
    private val store: TransactionalStore,
    private val prefix: String,
    private val log: EventLog,
    private val listener: PrefixListener,
    private val watchTimeout: Duration = DEFAULT_WATCH_TIMEOUT,
    private val clock: MonotonicClock = MonotonicClock.system(),
    private var revision: Long? = null
) : AutoCloseable {
    @Volatile
    private var isOpen = true
    private var failures = 0
    private var lastReadMillis = clock.nowMillis()
    private var lastLoggedMillis = Long.MIN_VALUE / 2
    private val thread = Thread(::run, "follow-$prefix").apply { isDaemon = true }

    fun start() = apply { thread.start() }

    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    private fun run() {
        while (isOpen) {
            try {
                if (!step()) Thread.sleep(backoffMillis())
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("follow-error", "prefix" to prefix, "error" to e)
                revision = null
                failures++
            }
        }
    }

    private fun backoffMillis() =
        INITIAL_BACKOFF_MILLIS shl (failures - 1).coerceIn(0, MAX_BACKOFF_DOUBLINGS)

    /** Lists or watches once; returns whether the store answered. */
    private fun step(): Boolean {
        val fromRevision = revision
        val beganMillis = clock.nowMillis()
        return if (fromRevision == null) list(beganMillis) else watch(fromRevision, beganMillis)
    }

    private fun list(beganMillis: Long): Boolean = when (val read = listener.read(store, prefix)) {
        is Either.Left -> recordFailure(read.value, beganMillis)

        is Either.Right -> {
            recordSuccess()
            if (isOpen) listener.onCurrent(beganMillis)
            revision = read.value
            true
        }
    }

    private fun watch(fromRevision: Long, beganMillis: Long): Boolean =
        when (val result = store.changes(prefix, fromRevision, watchTimeout)) {
            is Either.Left -> {
                recordFailure(result.value, beganMillis)
                if (listener.needsOnlyNewest) revision = null
                false
            }

            is Either.Right -> {
                recordSuccess()
                applyChanges(result.value, beganMillis)
                true
            }
        }

    private fun applyChanges(changes: StoreChanges, beganMillis: Long) = when (changes) {
        is StoreChanges.Seen -> {
            if (isOpen) {
                changes.changes.forEach(listener::onChange)
                listener.onCurrent(beganMillis)
            }
            revision = changes.revision
        }

        StoreChanges.HistoryGone -> {
            log.add("history-gone", "prefix" to prefix, "revision" to revision)
            revision = null
        }
    }

    private fun recordFailure(error: StoreError, beganMillis: Long): Boolean {
        failures++
        if (isOpen) logFailure(error, beganMillis)
        return false
    }

    private fun logFailure(error: StoreError, beganMillis: Long) {
        if (failures == 1) {
            log.add(
                "store-lost",
                "prefix" to prefix,
                "revision" to revision,
                "reason" to error.reason
            )
        }
        val now = clock.nowMillis()
        if (now < lastLoggedMillis + MIN_LOG_INTERVAL_MILLIS) return
        lastLoggedMillis = now
        log.add(
            "follow-failed",
            "prefix" to prefix,
            "revision" to revision,
            "step" to error.step,
            "peer" to error.peer,
            "reason" to error.reason,
            "failures" to failures,
            "tookMillis" to now - beganMillis,
            "ageMillis" to now - lastReadMillis
        )
    }

    private fun recordSuccess() {
        val now = clock.nowMillis()
        if (failures > 0) {
            log.add(
                "store-regained",
                "prefix" to prefix,
                "failures" to failures,
                "ageMillis" to now - lastReadMillis
            )
        }
        failures = 0
        lastReadMillis = now
    }

    companion object {
        /** Bounds how long a dead connection hides changes; accepted ones must be seen in 2 s. */
        val DEFAULT_WATCH_TIMEOUT = 1_000.milliseconds
        private const val INITIAL_BACKOFF_MILLIS = 50L
        private const val MAX_BACKOFF_DOUBLINGS = 2

        /** Bounds the lines of failed tries; the count in each tells of those left out. */
        private const val MIN_LOG_INTERVAL_MILLIS = 1_000L
    }
}
