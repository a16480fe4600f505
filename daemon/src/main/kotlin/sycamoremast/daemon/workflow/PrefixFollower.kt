/**
 * Follows all keys under a prefix, through outages of the store and losses of its history.
 *
 * The prefix is listed, then watched from the listing's revision on. After a refused watch it is
 * listed again. A watch that is silent beyond its waiting time is given up on by the store's client,
 * so that a connection that died silently delays a change by little.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreChanges
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.TransactionalStore
import sycamoremast.daemon.log.EventLog

/** Receives what a follower sees, on the follower's thread. */
internal interface PrefixListener {
    /** Called with everything under the prefix, at the start and after a gap. */
    fun onListing(listing: StoreListing)

    /** Called for each change since. */
    fun onChange(change: StoreChange)
}

internal class PrefixFollower(
    private val store: TransactionalStore,
    private val prefix: String,
    private val log: EventLog,
    private val listener: PrefixListener,
    private val wait: Duration = DEFAULT_WAIT
) : AutoCloseable {
    @Volatile
    private var isOpen = true
    private var revision: Long? = null
    private var failures = 0
    private val thread = Thread(::run, "follow-$prefix").apply { isDaemon = true }

    fun start() = apply { thread.start() }

    override fun close() {
        isOpen = false
        thread.interrupt()
    }

    private fun run() {
        while (isOpen) {
            try {
                if (!step()) Thread.sleep(pauseMillis())
            } catch (_: InterruptedException) {
                return
            } catch (e: RuntimeException) {
                log.add("follow-error", "prefix" to prefix, "error" to e)
                revision = null
                failures++
            }
        }
    }

    private fun pauseMillis() = FIRST_PAUSE_MILLIS shl (failures - 1).coerceIn(0, MOST_DOUBLINGS)

    /** Lists or watches once; returns whether the store answered. */
    private fun step(): Boolean {
        val from = revision
        return if (from == null) list() else watch(from)
    }

    private fun list(): Boolean = when (val listing = store.list(prefix)) {
        is Either.Left -> failed(listing.value.reason)

        is Either.Right -> {
            regained()
            if (isOpen) listener.onListing(listing.value)
            revision = listing.value.revision
            true
        }
    }

    private fun watch(from: Long): Boolean = when (val seen = store.changes(prefix, from, wait)) {
        is Either.Left -> failed(seen.value.reason)

        is Either.Right -> {
            regained()
            take(seen.value)
            true
        }
    }

    private fun take(changes: StoreChanges) = when (changes) {
        is StoreChanges.Seen -> {
            if (isOpen) changes.changes.forEach(listener::onChange)
            revision = changes.revision
        }

        StoreChanges.HistoryGone -> {
            log.add("history-gone", "prefix" to prefix, "revision" to revision)
            revision = null
        }
    }

    private fun failed(reason: String): Boolean {
        if (isOpen && failures++ == 0) {
            log.add("store-lost", "prefix" to prefix, "revision" to revision, "reason" to reason)
        }
        return false
    }

    private fun regained() {
        if (failures > 0) log.add("store-regained", "prefix" to prefix, "failures" to failures)
        failures = 0
    }

    companion object {
        /** Bounds how long a dead connection hides changes; accepted changes have to be seen in 2 s. */
        val DEFAULT_WAIT = 1_000.milliseconds
        private const val FIRST_PAUSE_MILLIS = 50L
        private const val MOST_DOUBLINGS = 2
    }
}
