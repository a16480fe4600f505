/** A key-value store whose call rate is limited by a [CallBudget]. */
package sycamoremast.coordination.store

import arrow.core.Either
import kotlin.time.Duration
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.WatchListener

/**
 * Forwards calls to [store] within [budget].
 *
 * A call that the budget does not allow within [maxWaitMillis] fails with [StoreError.NotSent].
 */
class BudgetedStore(
    private val store: KeyValueStore,
    private val budget: CallBudget,
    private val maxWaitMillis: Long = DEFAULT_MAX_WAIT_MILLIS,
    private val pause: Pause = Pause.system()
) : KeyValueStore {
    override fun get(key: String) = within("get") { store.get(key) }

    override fun list(prefix: String) = within("list") { store.list(prefix) }

    override fun compareAndSwap(key: String, expected: Long, value: String, lease: LeaseId?) =
        within("compare-and-swap") { store.compareAndSwap(key, expected, value, lease) }

    override fun compareAndDelete(key: String, expected: Long) =
        within("compare-and-delete") { store.compareAndDelete(key, expected) }

    override fun grantLease(ttl: Duration) = within("grant lease") { store.grantLease(ttl) }

    override fun keepAlive(lease: LeaseId) = within("keep alive") { store.keepAlive(lease) }

    override fun revokeLease(lease: LeaseId) = within("revoke lease") { store.revokeLease(lease) }

    override fun watch(prefix: String, fromRevision: Long, listener: WatchListener): AutoCloseable {
        if (budget.take(maxWaitMillis, pause)) return store.watch(prefix, fromRevision, listener)
        listener.onEnd(overBudget("watch"))
        return AutoCloseable { }
    }

    private fun <T> within(step: String, call: () -> Either<StoreError, T>) =
        if (budget.take(maxWaitMillis, pause)) call() else Either.Left(overBudget(step))

    private fun overBudget(step: String) =
        StoreError.NotSent(step, "", "the budget of calls allowed none in time")

    private companion object {
        const val DEFAULT_MAX_WAIT_MILLIS = 1_000L
    }
}
