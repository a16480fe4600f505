/** The outputs of a shard's state machine. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.TaskAction

/** An action requested by a shard's state machine; its answer is delivered as a [ShardEvent]. */
sealed interface ShardAction {
    /** Requests a lease from the store with the owner's time to live. */
    data class GrantLease(val call: Long) : ShardAction

    /** Renews [lease] in the store. */
    data class KeepLease(val call: Long, val lease: LeaseId) : ShardAction

    /** Revokes [lease]; needs no answer, as the lease expires anyway. */
    data class RevokeLease(val lease: LeaseId) : ShardAction

    /** Reads the leased key of the shard's owner. */
    data class ReadOwner(val call: Long) : ShardAction

    /** Creates the leased key of the shard's owner with the value [owner]. */
    data class ClaimOwner(val call: Long, val lease: LeaseId, val owner: String) : ShardAction

    /** Reads the shard's document. */
    data class ReadDocument(val call: Long) : ShardAction

    /** Writes the shard's document if it still has the version [expected]. */
    data class WriteDocument(val call: Long, val expected: Long, val text: String) : ShardAction

    /** Renews the lease on [worker]. */
    data class Renew(val worker: String, val call: Long, val renewal: LeaseRenewal) : ShardAction

    /** Starts a task on [worker]. */
    data class Start(val worker: String, val order: StartOrder) : ShardAction

    /** Sends [action] on a task to [worker]. */
    data class Control(
        val worker: String,
        val taskId: String,
        val epoch: Long,
        val action: TaskAction
    ) : ShardAction

    /** Reports that the outcome of the task [subject] is unknown. */
    data class ReportUnknown(val subject: String, val evidence: String) : ShardAction

    /** Writes a step to the log. */
    data class Note(val step: String, val peer: String, val detail: String) : ShardAction
}
