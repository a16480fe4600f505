/** The key-value service over HTTP, with the JSON messages of etcd's v3 API. */
package sycamoremast.daemon.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import okhttp3.OkHttpClient
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.LeaseId
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.WatchListener

/**
 * The key-value service at [address].
 *
 * A failure before the request is sent, or a response with status 4xx, gives [StoreError.NotSent];
 * any other failure gives [StoreError.AnswerLost]. Lease times are rounded up to whole seconds. A
 * watch ends if it receives nothing for [watchIdleTimeout].
 */
class HttpKeyValueStore internal constructor(
    private val address: String,
    http: OkHttpClient,
    private val watchIdleTimeout: Duration
) : KeyValueStore {
    private val client = JsonClient(address, http)

    override fun get(key: String): Either<StoreError, StoreEntry?> =
        range("store-get", RangeRequest(encodeBase64(key))).map { it.kvs.singleOrNull()?.toEntry() }

    override fun list(prefix: String): Either<StoreError, StoreListing> =
        range("store-list", RangeRequest(encodeBase64(prefix), encodedPrefixEnd(prefix)))
            .map { listing ->
                StoreListing(listing.kvs.map { it.toEntry() }, listing.header.revision)
            }

    override fun compareAndSwap(
        key: String,
        expected: Long,
        value: String,
        lease: LeaseId?
    ): Either<StoreError, SwapOutcome> {
        val put = PutRequest(encodeBase64(key), encodeBase64(value), lease?.value ?: 0)
        return swap("store-swap", key, expected, Operation(put = put))
    }

    override fun compareAndDelete(key: String, expected: Long): Either<StoreError, SwapOutcome> =
        swap("store-delete", key, expected, Operation(delete = RangeRequest(encodeBase64(key))))

    override fun grantLease(ttl: Duration): Either<StoreError, LeaseId> {
        val request = LeaseMessage(ttlSeconds = ttl.ceilToSeconds())
        return lease("store-lease-grant", "/v3/lease/grant", request, LeaseMessage.serializer())
            .map { LeaseId(it.id) }
    }

    override fun keepAlive(lease: LeaseId): Either<StoreError, Boolean> {
        val serializer = KeepAliveResponse.serializer()
        val request = LeaseMessage(id = lease.value)
        return lease("store-lease-keepalive", "/v3/lease/keepalive", request, serializer)
            .map { it.result.ttlSeconds > 0 }
    }

    override fun revokeLease(lease: LeaseId): Either<StoreError, Unit> {
        val step = "store-lease-revoke"
        val body = platformJson.encodeToString(LeaseMessage(id = lease.value))
        val result = client.post("/v3/lease/revoke", body)
        val isGone = result is CallResult.Answered && result.status == STATUS_NOT_FOUND
        return if (isGone) Unit.right() else decode(step, result, LeaseMessage.serializer()).map { }
    }

    override fun watch(prefix: String, fromRevision: Long, listener: WatchListener): AutoCloseable {
        val create = WatchCreate(encodeBase64(prefix), encodedPrefixEnd(prefix), fromRevision)
        val body = platformJson.encodeToString(WatchRequest(create))
        val call = client.newStreamingCall("/v3/watch", body, watchIdleTimeout)
        return HttpWatch(address, call, listener).also { it.start() }
    }

    private fun range(step: String, request: RangeRequest): Either<StoreError, RangeResponse> {
        val body = platformJson.encodeToString(request)
        return decode(step, client.post("/v3/kv/range", body), RangeResponse.serializer())
    }

    private fun swap(
        step: String,
        key: String,
        expected: Long,
        write: Operation
    ): Either<StoreError, SwapOutcome> {
        val readCurrent = Operation(range = RangeRequest(encodeBase64(key)))
        val request = TxnRequest(
            listOf(Compare(encodeBase64(key), expected)),
            listOf(write),
            listOf(readCurrent)
        )
        val result = client.post("/v3/kv/txn", platformJson.encodeToString(request))
        return decode(step, result, TxnResponse.serializer()).map { it.toOutcome() }
    }

    private fun TxnResponse.toOutcome(): SwapOutcome {
        if (succeeded) return SwapOutcome.Applied(header.revision)
        val current = responses.firstOrNull()?.range?.kvs?.singleOrNull()
        return SwapOutcome.Conflict(current?.toEntry())
    }

    private fun <T> lease(
        step: String,
        path: String,
        request: LeaseMessage,
        serializer: KSerializer<T>
    ): Either<StoreError, T> =
        decode(step, client.post(path, platformJson.encodeToString(request)), serializer)

    private fun <T> decode(
        step: String,
        result: CallResult,
        serializer: KSerializer<T>
    ): Either<StoreError, T> = when (result) {
        is CallResult.NotSent -> StoreError.NotSent(step, address, result.reason).left()
        is CallResult.AnswerLost -> StoreError.AnswerLost(step, address, result.reason).left()
        is CallResult.Answered -> decodeResponse(step, result, serializer)
    }

    private fun <T> decodeResponse(
        step: String,
        response: CallResult.Answered,
        serializer: KSerializer<T>
    ): Either<StoreError, T> {
        val reason = "status ${response.status}: ${response.body.take(MAX_REASON_CHARS)}"
        if (response.status in STATUS_4XX) return StoreError.NotSent(step, address, reason).left()
        if (response.status != STATUS_OK) return StoreError.AnswerLost(step, address, reason).left()
        return try {
            platformJson.decodeFromString(serializer, response.body).right()
        } catch (e: SerializationException) {
            StoreError.AnswerLost(step, address, "not understood: ${e.message}").left()
        }
    }

    private fun Duration.ceilToSeconds(): Long {
        val seconds = toLong(DurationUnit.SECONDS)
        val isWhole = inWholeMilliseconds % MILLIS_PER_SECOND == 0L
        return if (isWhole) seconds else seconds + 1
    }

    companion object {
        private const val STATUS_OK = 200
        private const val STATUS_NOT_FOUND = 404
        private const val MILLIS_PER_SECOND = 1000
        private const val MAX_REASON_CHARS = 200
        private val STATUS_4XX = 400..499

        /** Returns a client of the service at [address], an IP address with a port. */
        fun at(address: String, http: OkHttpClient, watchIdleTimeout: Duration) =
            HttpKeyValueStore(address, http, watchIdleTimeout)
    }
}
