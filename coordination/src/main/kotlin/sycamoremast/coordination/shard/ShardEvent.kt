/** What a shard's state machine reacts to. */
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

/** An input of a shard's state machine; answers name the call that they belong to. */
sealed interface ShardEvent {
    /** Time has passed. */
    data object Tick : ShardEvent

    /** What the platform, the operators or another host say. */
    sealed interface Listing : ShardEvent

    /** An answer of the service about the shard's ownership. */
    sealed interface OwnershipAnswer : ShardEvent

    /** An answer of the service about the shard's document. */
    sealed interface DocumentAnswer : ShardEvent

    /** An answer of [worker]. */
    sealed interface WorkerAnswer : ShardEvent {
        val worker: String
    }

    /** The platform lists these workers of the shard. */
    data class WorkersListed(val workers: List<ListedHost>) : Listing

    /**
     * The team's configuration at [revision] has these jobs of the shard.
     *
     * [quota] is the most that the team's tasks may hold in this shard.
     */
    data class JobsListed(
        val team: String,
        val revision: Long,
        val jobs: Map<String, JobSpec>,
        val quota: Resources? = null
    ) : Listing

    /** The service shows whether the shard has an owner. */
    data class OwnerSeen(val isHeld: Boolean) : Listing

    /** An operator cancels a job of [tasks] tasks. */
    data class CancelRequested(val key: JobKey, val tasks: Int, val reason: String) : Listing

    /** This host gives up the shard and does not take it again. */
    data object ReleaseRequested : ShardEvent

    /** These hosts should take the shard when it is free; others let them go first. */
    data class PreferenceListed(val preference: Preference) : Listing

    /** The owner is to hand the shard over, as soon as that disturbs nothing. */
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
