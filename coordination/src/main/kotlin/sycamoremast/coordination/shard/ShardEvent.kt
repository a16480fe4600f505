/** The inputs of a shard's state machine. */
package sycamoremast.coordination.shard

import arrow.core.Either
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.TaskReport
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.WorkerReport
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.JobSpec

/** An input of a shard's state machine; an answer carries the number of its call. */
sealed interface ShardEvent {
    /** Signals that time has passed. */
    data object Tick : ShardEvent

    /** Information from the platform, the operators or another host. */
    sealed interface Listing : ShardEvent

    /** An answer of the store to a call on the shard's ownership. */
    sealed interface OwnershipAnswer : ShardEvent

    /** An answer of the store to a call on the shard's document. */
    sealed interface DocumentAnswer : ShardEvent

    /** An answer of [worker] to a call. */
    sealed interface WorkerAnswer : ShardEvent {
        val worker: String
    }

    /** The platform lists these workers of the shard. */
    data class WorkersListed(val workers: List<ListedHost>) : Listing

    /**
     * The jobs of [team] in this shard, as of [revision] of the team's configuration.
     *
     * [quota] limits the resources that the team's tasks may hold in this shard.
     */
    data class JobsListed(
        val team: String,
        val revision: Long,
        val jobs: Map<String, JobSpec>,
        val quota: Resources? = null
    ) : Listing

    /** The store shows whether the owner's key of the shard exists. */
    data class OwnerSeen(val isHeld: Boolean) : Listing

    /** An operator cancels the job [key], which has [tasks] tasks. */
    data class CancelRequested(val key: JobKey, val tasks: Int, val reason: String) : Listing

    /** This host is to give up the shard and not take it again. */
    data object ReleaseRequested : ShardEvent

    /** The hosts that get a head start in claiming the shard when it has no owner. */
    data class PreferenceListed(val preference: Preference) : Listing

    /** The owner is to hand the shard over once no start or write is in progress. */
    data object HandOverRequested : Listing

    /** Another host has changed the document. */
    data object DocumentChanged : Listing

    /** The answer to [ShardAction.GrantLease]. */
    data class LeaseGranted(val call: Long, val result: Either<StoreError, LeaseId>) :
        OwnershipAnswer

    /** The answer to [ShardAction.KeepLease]. */
    data class LeaseKept(val call: Long, val result: Either<StoreError, Boolean>) : OwnershipAnswer

    /** The answer to [ShardAction.ReadOwner]. */
    data class OwnerRead(val call: Long, val result: Either<StoreError, StoreEntry?>) :
        OwnershipAnswer

    /** The answer to [ShardAction.ClaimOwner]. */
    data class OwnerClaimed(val call: Long, val result: Either<StoreError, SwapOutcome>) :
        OwnershipAnswer

    /** The answer to [ShardAction.ReadDocument]. */
    data class DocumentRead(val call: Long, val result: Either<StoreError, StoreEntry?>) :
        DocumentAnswer

    /** The answer to [ShardAction.WriteDocument]. */
    data class DocumentWritten(val call: Long, val result: Either<StoreError, SwapOutcome>) :
        DocumentAnswer

    /** The answer to [ShardAction.Renew]. */
    data class Renewed(
        override val worker: String,
        val call: Long,
        val result: Either<WorkerError, WorkerReport>
    ) : WorkerAnswer

    /** The answer to [ShardAction.Start]. */
    data class Started(
        override val worker: String,
        val order: StartOrder,
        val result: Either<WorkerError, TaskReport>
    ) : WorkerAnswer

    /** The answer to [ShardAction.Control]. */
    data class Controlled(
        override val worker: String,
        val taskId: String,
        val epoch: Long,
        val action: TaskAction,
        val result: Either<WorkerError, TaskReport>
    ) : WorkerAnswer
}
