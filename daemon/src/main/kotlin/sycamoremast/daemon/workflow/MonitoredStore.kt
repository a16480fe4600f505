/**
 * Detects outages of the store, so that callers needn't wait for calls that are bound to fail.
 *
 * The prefix followers keep probing the store during an outage; the first answer ends it.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.left
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreChanges
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StorePage
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore

/**
 * Delegates to [store] and counts consecutive calls without an answer.
 *
 * While the store is lost, or hasn't answered this process yet, listings and watches wait for the
 * answer to a probe before they are sent. Stale listings don't: callers wait for them.
 */
internal class MonitoredStore(
    private val store: TransactionalStore,
    private val clock: MonotonicClock,
    private val meters: WorkflowMeters = WorkflowMeters()
) : TransactionalStore {
    private val failures = AtomicInteger()
    private val probe = StoreProbe(clock, { isLost || !hasAnswered }) {
        monitored(PROBE_CALL) { store.get(WorkflowKeys.PROBE) }
    }

    @Volatile
    private var lastAnswerMillis = clock.nowMillis()

    /** Whether the store has answered this process, which may have started in an outage. */
    @Volatile
    private var hasAnswered = false

    /** The time since the store last answered a call, or 0 outside an outage. */
    val silenceMillis: Long
        get() = if (failures.get() <
            MIN_OUTAGE_FAILURES
        ) {
            0
        } else {
            clock.nowMillis() - lastAnswerMillis
        }

    /** Whether a call is expected to fail. */
    val isUnavailable: Boolean get() = silenceMillis > MIN_OUTAGE_SILENCE_MILLIS

    /** Whether the store is lost: it has not answered for longer than a call takes to fail. */
    val isLost: Boolean get() = silenceMillis >= MIN_LOSS_SILENCE_MILLIS

    private fun <T> monitored(
        call: String,
        answer: () -> Either<StoreError, T>
    ): Either<StoreError, T> {
        val startNanos = System.nanoTime()
        val sentMillis = clock.nowMillis()
        return answer().also {
            meters.recordStoreCall(call, it.isRight(), System.nanoTime() - startNanos)
            if (it.isRight()) {
                failures.set(0)
                lastAnswerMillis = clock.nowMillis()
                hasAnswered = true
            } else if (call != PROBE_CALL || sentMillis >= lastAnswerMillis) {
                // Probes sent before the last answer fail after an outage, and tell of no new one.
                failures.incrementAndGet()
            }
        }
    }

    /** Makes a call that takes long to time out, once a probe shows that a lost store is back. */
    private fun <T> unlessLost(
        call: String,
        prefix: String,
        answer: () -> Either<StoreError, T>
    ): Either<StoreError, T> = if (probe.awaitAnswer(MAX_PROBE_WAIT_MILLIS)) {
        monitored(call, answer)
    } else {
        StoreError.NotSent(call, prefix, "the store does not answer").left()
    }

    override fun get(key: String, mayBeStale: Boolean): Either<StoreError, StoreEntry?> =
        monitored("get") { store.get(key, mayBeStale) }

    override fun page(
        prefix: String,
        after: String,
        mayBeStale: Boolean
    ): Either<StoreError, StorePage> = if (mayBeStale) {
        monitored("list") { store.page(prefix, after, mayBeStale = true) }
    } else {
        unlessLost("list", prefix) { store.page(prefix, after) }
    }

    override fun changes(
        prefix: String,
        revision: Long,
        wait: Duration
    ): Either<StoreError, StoreChanges> =
        unlessLost("watch", prefix) { store.changes(prefix, revision, wait) }

    override fun commit(transaction: StoreTransaction): Either<StoreError, CommitResult> =
        monitored("commit") { store.commit(transaction) }

    override fun grantLease(ttl: Duration): Either<StoreError, LeaseId> =
        monitored("grant-lease") { store.grantLease(ttl) }

    override fun keepAlive(lease: LeaseId): Either<StoreError, Boolean> =
        monitored("keep-alive") { store.keepAlive(lease) }

    override fun revokeLease(lease: LeaseId): Either<StoreError, Unit> =
        monitored("revoke-lease") { store.revokeLease(lease) }

    private companion object {
        const val PROBE_CALL = "probe"

        /** A single lost answer or interrupted watch is not an outage. */
        const val MIN_OUTAGE_FAILURES = 2

        /** The usual duration of several calls, within which a prefix follower fails as well. */
        const val MIN_OUTAGE_SILENCE_MILLIS = 300L

        /** Calls that were open when the store came back may still fail for this long. */
        const val MIN_LOSS_SILENCE_MILLIS = 1_000L

        /** Callers wait a little before they try again, and nobody probes meanwhile. */
        const val MAX_PROBE_WAIT_MILLIS = 5_000L
    }
}
