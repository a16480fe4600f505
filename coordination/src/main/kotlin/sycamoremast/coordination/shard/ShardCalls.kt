/** Executes the actions of a shard's state machine through the store and worker ports. */
package sycamoremast.coordination.shard

import arrow.core.Either
import arrow.core.left
import kotlin.time.Duration
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.WorkerPort

/** The store keys of a shard and the time to live of its owner's lease. */
data class ShardLocation(val ownerKey: String, val documentKey: String, val ownerTtl: Duration)

/** Executes actions for the shard at [location]; [workers] returns a worker's port, if known. */
class ShardCalls(
    private val location: ShardLocation,
    private val store: KeyValueStore,
    private val workers: (String) -> WorkerPort?
) {
    /** Executes [action], blocking until it completes; returns its answer, or null if none. */
    fun call(action: ShardAction): ShardEvent? = when (action) {
        is ShardAction.ReportUnknown, is ShardAction.Note -> null
        is ShardAction.Renew, is ShardAction.Start, is ShardAction.Control -> callWorker(action)
        else -> callStore(action)
    }

    private fun callStore(action: ShardAction): ShardEvent? = when (action) {
        is ShardAction.GrantLease ->
            ShardEvent.LeaseGranted(action.call, store.grantLease(location.ownerTtl))

        is ShardAction.KeepLease ->
            ShardEvent.LeaseKept(action.call, store.keepAlive(action.lease))

        is ShardAction.RevokeLease -> {
            store.revokeLease(action.lease)
            null
        }

        is ShardAction.ReadOwner -> ShardEvent.OwnerRead(action.call, store.get(location.ownerKey))

        is ShardAction.ClaimOwner -> ShardEvent.OwnerClaimed(
            action.call,
            store.compareAndSwap(location.ownerKey, StoreEntry.ABSENT, action.owner, action.lease)
        )

        is ShardAction.ReadDocument ->
            ShardEvent.DocumentRead(action.call, store.get(location.documentKey))

        is ShardAction.WriteDocument -> ShardEvent.DocumentWritten(
            action.call,
            store.compareAndSwap(location.documentKey, action.expected, action.text)
        )

        else -> null
    }

    private fun callWorker(action: ShardAction): ShardEvent? = when (action) {
        is ShardAction.Renew -> ShardEvent.Renewed(
            action.worker,
            action.call,
            onWorker(action.worker, "renew") { renew(action.renewal) }
        )

        is ShardAction.Start -> ShardEvent.Started(
            action.worker,
            action.order,
            onWorker(action.worker, "start") { start(action.order) }
        )

        is ShardAction.Control -> ShardEvent.Controlled(
            action.worker,
            action.taskId,
            action.epoch,
            action.action,
            onWorker(action.worker, "control") {
                control(action.taskId, action.epoch, action.action)
            }
        )

        else -> null
    }

    private fun <T> onWorker(
        name: String,
        step: String,
        call: WorkerPort.() -> Either<WorkerError, T>
    ): Either<WorkerError, T> =
        workers(name)?.call() ?: WorkerError.NotSent(step, name, "not listed").left()
}
