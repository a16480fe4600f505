/** The key-value service's JSON bodies: base64 keys and values, 64-bit integers as strings. */
package sycamoremast.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.LongAsStringSerializer

@Serializable
internal data class WireHeader(@Serializable(LongAsStringSerializer::class) val revision: Long)

@Serializable
internal data class WireEntry(
    val key: String,
    @SerialName("create_revision")
    @Serializable(LongAsStringSerializer::class)
    val createRevision: Long = 0,
    @SerialName("mod_revision")
    @Serializable(LongAsStringSerializer::class)
    val modRevision: Long = 0,
    @Serializable(LongAsStringSerializer::class)
    val version: Long = 0,
    val value: String? = null,
    @Serializable(LongAsStringSerializer::class)
    val lease: Long = 0
)

@Serializable
internal data class RangeRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null
)

@Serializable
internal data class RangeResponse(
    val header: WireHeader,
    val kvs: List<WireEntry>,
    @Serializable(LongAsStringSerializer::class) val count: Long
)

@Serializable
internal data class PutRequest(
    val key: String,
    val value: String = "",
    @Serializable(LongAsStringSerializer::class) val lease: Long = 0
)

@Serializable
internal data class HeaderResponse(val header: WireHeader)

@Serializable
internal data class DeleteResponse(
    val header: WireHeader,
    @Serializable(LongAsStringSerializer::class) val deleted: Long
)

@Serializable
internal enum class CompareTarget { VERSION, CREATE, MOD }

@Serializable
internal data class Compare(
    val key: String,
    val target: CompareTarget = CompareTarget.VERSION,
    val result: String = "EQUAL",
    @Serializable(LongAsStringSerializer::class) val version: Long = 0,
    @SerialName("create_revision")
    @Serializable(LongAsStringSerializer::class)
    val createRevision: Long = 0,
    @SerialName("mod_revision")
    @Serializable(LongAsStringSerializer::class)
    val modRevision: Long = 0
)

@Serializable
internal data class Operation(
    @SerialName("request_range") val range: RangeRequest? = null,
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val delete: RangeRequest? = null
)

@Serializable
internal data class TxnRequest(
    val compare: List<Compare> = emptyList(),
    val success: List<Operation> = emptyList(),
    val failure: List<Operation> = emptyList()
)

@Serializable
internal data class OperationResponse(
    @SerialName("response_range") val range: RangeResponse? = null,
    @SerialName("response_put") val put: HeaderResponse? = null,
    @SerialName("response_delete_range") val delete: DeleteResponse? = null
)

@Serializable
internal data class TxnResponse(
    val header: WireHeader,
    val succeeded: Boolean,
    val responses: List<OperationResponse>
)

@Serializable
internal data class LeaseRequest(
    @SerialName("TTL")
    @Serializable(LongAsStringSerializer::class)
    val ttlSeconds: Long = 0,
    @SerialName("ID")
    @Serializable(LongAsStringSerializer::class)
    val id: Long = 0
)

@Serializable
internal data class LeaseResponse(
    val header: WireHeader,
    @SerialName("ID")
    @Serializable(LongAsStringSerializer::class)
    val id: Long,
    @SerialName("TTL")
    @Serializable(LongAsStringSerializer::class)
    val ttlSeconds: Long
)

@Serializable
internal data class KeepAliveResponse(val result: LeaseResponse)

@Serializable
internal data class WatchRequest(@SerialName("create_request") val create: WatchCreate)

@Serializable
internal data class WatchCreate(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
    @SerialName("start_revision")
    @Serializable(LongAsStringSerializer::class)
    val startRevision: Long = 0,
    @SerialName("progress_notify") val progressNotify: Boolean = false
)

@Serializable
internal data class WatchResponse(val result: WatchResult)

@Serializable
internal data class WatchResult(
    val header: WireHeader,
    val created: Boolean = false,
    val events: List<WireEvent> = emptyList()
)

@Serializable
internal data class WireEvent(val type: String, val kv: WireEntry)

@Serializable
internal data class WireError(val error: String, val code: Int)
