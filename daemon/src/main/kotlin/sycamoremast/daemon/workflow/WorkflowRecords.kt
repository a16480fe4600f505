/** The records of workflows and of a worker set's owner, and their text in the store. */
package sycamoremast.daemon.workflow

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import sycamoremast.coordination.workflow.WorkerRef
import sycamoremast.coordination.workflow.Workflow

/**
 * What lies at a workflow's key.
 *
 * Either a workflow that was accepted, or with a null [workflow] the mark of a refusal: as long as it
 * stands, no write that expects the key to be free can take effect.
 */
@Serializable
internal data class AcceptanceRecord(val attempt: String, val workflow: Workflow? = null)

/** The owner of a worker set. */
@Serializable
internal data class OwnerRecord(val host: String, val epoch: Long)

/** The owner's last transaction, number [batch] of [epoch], on which the next is conditional. */
@Serializable
internal data class EpochRecord(val epoch: Long, val batch: Long)

/**
 * The workers that the owner of [epoch] may have given work.
 *
 * An owner that gave up as planned left behind how long the leases of its workers may last, in
 * milliseconds by worker, as [leasesLeft].
 */
@Serializable
internal data class RosterRecord(
    val workers: List<WorkerRef>,
    val epoch: Long = 0,
    val leasesLeft: Map<String, Long>? = null
)

/** The number of workflows without a started task by queue. */
@Serializable
internal data class WaitingRecord(val byQueue: Map<String, Int>)

internal val recordJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

internal inline fun <reified T> encodeRecord(record: T): String = recordJson.encodeToString(record)

/** Returns the record that [text] holds, or null if it can't be read. */
internal inline fun <reified T> decodeRecordOrNull(text: String): T? = try {
    recordJson.decodeFromString<T>(text)
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}
