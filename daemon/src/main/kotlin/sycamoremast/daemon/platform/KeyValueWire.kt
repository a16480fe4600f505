/** The JSON bodies of the key-value service, limited to the fields that this client uses. */
package sycamoremast.daemon.platform

import java.util.Base64
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.LongAsStringSerializer
import sycamoremast.coordination.StoreEntry

@Serializable
internal data class Header(@Serializable(LongAsStringSerializer::class) val revision: Long = 0)

@Serializable
internal data class KeyValue(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision")
    @Serializable(LongAsStringSerializer::class)
    val modRevision: Long = 0
) {
    fun toEntry() = StoreEntry(decodeBase64(key), decodeBase64(value), modRevision)
}

@Serializable
internal data class RangeRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null
)

@Serializable
internal data class RangeResponse(
    val header: Header = Header(),
    val kvs: List<KeyValue> = emptyList()
)

@Serializable
internal data class PutRequest(
    val key: String,
    val value: String,
    @Serializable(LongAsStringSerializer::class) val lease: Long = 0
)

/** Requires that [key] was last changed at [modRevision]; 0 means that it does not exist. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class Compare(
    val key: String,
    @SerialName("mod_revision")
    @Serializable(LongAsStringSerializer::class)
    val modRevision: Long,
    @EncodeDefault val target: String = "MOD",
    @EncodeDefault val result: String = "EQUAL"
)

@Serializable
internal data class Operation(
    @SerialName("request_range") val range: RangeRequest? = null,
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val delete: RangeRequest? = null
)

@Serializable
internal data class TxnRequest(
    val compare: List<Compare>,
    val success: List<Operation>,
    val failure: List<Operation>
)

@Serializable
internal data class OperationResponse(
    @SerialName("response_range") val range: RangeResponse? = null
)

@Serializable
internal data class TxnResponse(
    val header: Header = Header(),
    val succeeded: Boolean = false,
    val responses: List<OperationResponse> = emptyList()
)

@Serializable
internal data class LeaseMessage(
    @SerialName("ID")
    @Serializable(LongAsStringSerializer::class)
    val id: Long = 0,
    @SerialName("TTL")
    @Serializable(LongAsStringSerializer::class)
    val ttlSeconds: Long = 0
)

@Serializable
internal data class KeepAliveResponse(val result: LeaseMessage = LeaseMessage())

@Serializable
internal data class WatchRequest(@SerialName("create_request") val create: WatchCreate)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class WatchCreate(
    val key: String,
    @SerialName("range_end") val rangeEnd: String,
    @SerialName("start_revision")
    @Serializable(LongAsStringSerializer::class)
    val startRevision: Long,
    @SerialName("progress_notify")
    @EncodeDefault
    val progressNotify: Boolean = true
)

@Serializable
internal data class WatchResponse(val result: WatchResult? = null)

@Serializable
internal data class WatchResult(
    val canceled: Boolean = false,
    @SerialName("cancel_reason") val cancelReason: String = "",
    val events: List<WatchEvent> = emptyList()
)

@Serializable
internal data class WatchEvent(val type: String = "PUT", val kv: KeyValue) {
    val isDeletion get() = type == "DELETE"
}

internal fun encodeBase64(text: String): String =
    Base64.getEncoder().encodeToString(text.encodeToByteArray())

internal fun decodeBase64(text: String): String = Base64.getDecoder().decode(text).decodeToString()

/** Returns the Base64 form of the exclusive end of the range of keys that start with [prefix]. */
internal fun encodedPrefixEnd(prefix: String): String {
    val bytes = prefix.encodeToByteArray()
    require(bytes.isNotEmpty()) { "prefix must not be empty" }
    bytes[bytes.lastIndex]++
    return Base64.getEncoder().encodeToString(bytes)
}
