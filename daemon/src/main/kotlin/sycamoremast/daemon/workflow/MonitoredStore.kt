/**
 * Watches whether the store answers, so that callers needn't wait for calls that are bound to fail.
 *
 * The followers' calls go on during an outage and end it with their first answer.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import sycamoremast.coordination.CommitResult
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreChanges
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.StoreTransaction
import sycamoremast.coordination.TransactionalStore

/** Passes calls on to [store] and keeps count of those without an answer. */
internal class MonitoredStore(
    private val store: TransactionalStore,
    private val clock: MonotonicClock,
    private val meters: WorkflowMeters = WorkflowMeters()
) : TransactionalStore {
    private val failures = AtomicInteger()

    @Volatile
    private var answeredMillis = clock.nowMillis()

    /** How long ago the store last answered a call, or 0 while calls are answered. */
    val silentMillis: Long
        get() = if (failures.get() <
            FAILURES_OF_AN_OUTAGE
        ) {
            0
        } else {
            clock.nowMillis() - answeredMillis
        }

    /** Whether a call would most likely fail. */
    val isOut: Boolean get() = silentMillis > SILENCE_OF_AN_OUTAGE_MILLIS

    private fun <T> noted(
        call: String,
        answer: () -> Either<StoreError, T>
    ): Either<StoreError, T> {
        val began = System.nanoTime()
        return answer().also {
            meters.called(call, it.isRight(), System.nanoTime() - began)
            if (it.isLeft()) {
                failures.incrementAndGet()
            } else {
                failures.set(0)
                answeredMillis = clock.nowMillis()
            }
        }
    }

    override fun get(key: String, mayBeStale: Boolean): Either<StoreError, StoreEntry?> =
        noted("get") { store.get(key, mayBeStale) }

    override fun list(prefix: String): Either<StoreError, StoreListing> =
        noted("list") { store.list(prefix) }

    override fun changes(
        prefix: String,
        revision: Long,
        wait: Duration
    ): Either<StoreError, StoreChanges> = noted("watch") { store.changes(prefix, revision, wait) }

    override fun commit(transaction: StoreTransaction): Either<StoreError, CommitResult> =
        noted("commit") { store.commit(transaction) }

    override fun grantLease(ttl: Duration): Either<StoreError, LeaseId> =
        noted("grant-lease") { store.grantLease(ttl) }

    override fun keepAlive(lease: LeaseId): Either<StoreError, Boolean> =
        noted("keep-alive") { store.keepAlive(lease) }

    override fun revokeLease(lease: LeaseId): Either<StoreError, Unit> =
        noted("revoke-lease") { store.revokeLease(lease) }

    private companion object {
        /** A single lost answer or a cut watch is no outage. */
        const val FAILURES_OF_AN_OUTAGE = 2

        /** Some calls' usual time; in between, a follower has failed as well. */
        const val SILENCE_OF_AN_OUTAGE_MILLIS = 300L
    }
}
