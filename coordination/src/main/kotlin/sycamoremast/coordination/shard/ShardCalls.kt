/** Carries out what a shard's state machine asks for, through the ports. */
package sycamoremast.coordination.shard

import arrow.core.Either
import arrow.core.left
import kotlin.time.Duration
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.WorkerPort

/** Where a shard is kept in the service, and for how long its owner's lease lasts. */
data class ShardPlace(val ownerKey: String, val documentKey: String, val ownerTtl: Duration)

/** The calls of the shard at [place]; [workers] returns the port to a worker, if it is known. */
class ShardCalls(
    private val place: ShardPlace,
    private val store: KeyValueStore,
    private val workers: (String) -> WorkerPort?
) {
    /** Returns the answer to [action], or null for one that has none; blocks until it is there. */
    fun call(action: ShardAction): ShardEvent? = when (action) {
        is ShardAction.ReportUnknown, is ShardAction.Note -> null
        is ShardAction.Renew, is ShardAction.Start, is ShardAction.Control -> callWorker(action)
        else -> callStore(action)
    }

    private fun callStore(action: ShardAction): ShardEvent? = when (action) {
        is ShardAction.GrantLease ->
            ShardEvent.LeaseGranted(action.call, store.grantLease(place.ownerTtl))

        is ShardAction.KeepLease ->
            ShardEvent.LeaseKept(action.call, store.keepAlive(action.lease))

        is ShardAction.RevokeLease -> {
            store.revokeLease(action.lease)
            null
        }

        is ShardAction.ReadOwner -> ShardEvent.OwnerRead(action.call, store.get(place.ownerKey))

        is ShardAction.ClaimOwner -> ShardEvent.OwnerClaimed(
            action.call,
            store.compareAndSwap(place.ownerKey, StoreEntry.ABSENT, action.owner, action.lease)
        )

        is ShardAction.ReadDocument ->
            ShardEvent.DocumentRead(action.call, store.get(place.documentKey))

        is ShardAction.WriteDocument -> ShardEvent.DocumentWritten(
            action.call,
            store.compareAndSwap(place.documentKey, action.expected, action.text)
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
