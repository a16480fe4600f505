/**
 * Finds out soon that a store answers again.
 *
 * A call that is sent into an outage hides the store's return until it times out. Probes are sent at
 * short intervals without waiting for the answers to earlier ones, and end as soon as nobody waits.
 */
package sycamoremast.daemon.workflow

import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import sycamoremast.coordination.MonotonicClock

/** Probes a store by calls of [ask] while it [isLost]. */
internal class StoreProbe(
    private val clock: MonotonicClock,
    private val isLost: () -> Boolean,
    private val ask: () -> Unit
) {
    private val senders = Executors.newCachedThreadPool { run ->
        Thread(run, "store-probe").apply { isDaemon = true }
    }
    private val unanswered = Semaphore(MAX_UNANSWERED)
    private val lock = ReentrantLock()
    private val asked = lock.newCondition()
    private var lastSentMillis = Long.MIN_VALUE / 2

    /** Waits up to [limitMillis] until any call is answered; returns whether one was. */
    fun awaitAnswer(limitMillis: Long): Boolean = lock.withLock {
        val deadlineMillis = clock.nowMillis() + limitMillis
        while (isLost()) {
            val now = clock.nowMillis()
            if (now >= deadlineMillis) return false
            if (now >= lastSentMillis + INTERVAL_MILLIS) send(now)
            asked.await(minOf(INTERVAL_MILLIS, deadlineMillis - now), MILLISECONDS)
        }
        true
    }

    private fun send(nowMillis: Long) {
        if (!unanswered.tryAcquire()) return
        lastSentMillis = nowMillis
        senders.execute {
            try {
                ask()
            } finally {
                unanswered.release()
                lock.withLock { asked.signalAll() }
            }
        }
    }

    private companion object {
        /** The longest time that a host takes to notice the store's return, but for its answer. */
        const val INTERVAL_MILLIS = 100L

        /** As many as are sent before the first of them times out. */
        const val MAX_UNANSWERED = 8
    }
}
