/** The records of workflows and of a worker set's owner, and their JSON encoding in the store. */
package sycamoremast.daemon.workflow

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import sycamoremast.coordination.workflow.Workflow

/**
 * The record at a workflow's key: an accepted workflow or a refusal marker.
 *
 * A null [workflow] marks a refusal: while the marker exists, no write that expects the key to be
 * absent can take effect.
 */
@Serializable
internal data class AcceptanceRecord(val attempt: String, val workflow: Workflow? = null)

/** The owner of a worker set. */
@Serializable
internal data class OwnerRecord(val host: String, val epoch: Long)

/** The number [batch] of the owner's last transaction in [epoch]; the next is conditional on it. */
@Serializable
internal data class EpochRecord(val epoch: Long, val batch: Long)

/** The number of workflows without a started task, by queue. */
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
