/**
 * A stand-in for the platform's key-value service.
 *
 * It speaks the JSON form of a well-known store: range, txn, put, deleterange, lease grant,
 * keepalive and revoke, and a streamed watch. `GET /calls` counts the calls by kind, `POST /faults`
 * replaces the faults in force, and `GET /faults` shows them.
 */
package sycamoremast.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable

/**
 * The faults of the key-value service.
 *
 * [down] closes connections before any effect; [slowMillis] delays each call; [dropAnswers] is the
 * number of further writes that take effect unanswered; [freezeWatch] holds back what watches would
 * see; [expireLeases] ends all leases once, at once.
 */
@Serializable
data class KeyValueFaults(
    val down: Boolean = false,
    val slowMillis: Long = 0,
    val dropAnswers: Int = 0,
    val freezeWatch: Boolean = false,
    val expireLeases: Boolean = false
)

/** A running key-value service. */
class KeyValueServer private constructor(port: Int, address: String) : AutoCloseable {
    private val state = KeyValueState()
    private val counts = ConcurrentHashMap<String, AtomicLong>()
    private val answersToDrop = AtomicInteger()

    @Volatile
    private var faults = KeyValueFaults()

    @Volatile
    private var closed = false

    private val expiry = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "lease-expiry").apply { isDaemon = true }
    }
    private val server = StandInServer("key-value", port, THREADS, address, ::handle)

    /** The port that the service listens on. */
    val port: Int get() = server.port

    init {
        expiry.scheduleWithFixedDelay(
            { state.expireLeases() },
            EXPIRY_PERIOD_MILLIS,
            EXPIRY_PERIOD_MILLIS,
            MILLISECONDS
        )
    }

    /** Returns the faults in force; of unanswered writes, how many are still to come. */
    fun faults(): KeyValueFaults = faults.copy(dropAnswers = answersToDrop.get())

    /** Puts [faults] in force in place of the earlier ones. */
    fun setFaults(faults: KeyValueFaults) {
        this.faults = faults.copy(expireLeases = false)
        answersToDrop.set(faults.dropAnswers)
        if (faults.expireLeases) state.expireLeases(all = true)
    }

    /** Returns the number of calls so far, by kind. */
    fun calls(): Map<String, Long> = counts.mapValues { it.value.get() }.toSortedMap()

    override fun close() {
        closed = true
        expiry.shutdownNow()
        server.close()
    }

    private fun handle(call: Call) {
        when (call.path) {
            "/calls" -> call.answer(calls())
            "/faults" -> handleFaults(call)
            else -> serve(call)
        }
    }

    private fun handleFaults(call: Call) {
        if (call.method == "POST") setFaults(call.read())
        call.answer(faults())
    }

    private fun serve(call: Call) {
        val kind = KINDS[call.path]
        if (kind == null) {
            call.answer(WireError("no such call: ${call.path}", NOT_FOUND), Call.STATUS_NOT_FOUND)
            return
        }
        counts.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (faults.down) return call.abort()
        perform(kind, call)
    }

    private fun perform(kind: String, call: Call) {
        when (kind) {
            "range" -> call.answer(state.range(call.read()))
            "put" -> answerWrite(call, state.put(call.read()))
            "deleterange" -> answerWrite(call, state.delete(call.read()))
            "txn" -> answerWrite(call, state.txn(call.read()))
            "grant" -> call.answer(state.grant(call.read<LeaseRequest>().ttlSeconds))
            "keepalive" -> {
                val lease = state.keepAlive(call.read<LeaseRequest>().id)
                call.answer(KeepAliveResponse(lease))
            }
            "revoke" -> revoke(call)
            "watch" -> watch(call, call.read<WatchRequest>().create)
        }
    }

    private inline fun <reified T : Any> answerWrite(call: Call, response: T?) {
        if (answersToDrop.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0) return call.abort()
        if (response == null) return answerLeaseNotFound(call)
        call.answer(response)
    }

    private fun revoke(call: Call) {
        if (!state.revoke(call.read<LeaseRequest>().id)) return answerLeaseNotFound(call)
        call.answer(HeaderResponse(WireHeader(state.currentRevision())))
    }

    private fun answerLeaseNotFound(call: Call) =
        call.answer(WireError("requested lease not found", NOT_FOUND), Call.STATUS_NOT_FOUND)

    private fun watch(call: Call, request: WatchCreate) {
        var next = request.startRevision.takeIf { it > 0 } ?: (state.currentRevision() + 1)
        var silentMillis = 0L
        stream(call, WatchResult(WireHeader(state.currentRevision()), created = true))
        while (!closed && !faults.down) {
            if (faults.freezeWatch) {
                Thread.sleep(WATCH_POLL_MILLIS)
                continue
            }
            val (events, revision) = state.awaitChanges(request, next, WATCH_POLL_MILLIS)
            next = maxOf(next, revision + 1)
            silentMillis = if (events.isEmpty()) silentMillis + WATCH_POLL_MILLIS else 0
            val progress = request.progressNotify && silentMillis >= PROGRESS_MILLIS
            if (progress) silentMillis = 0
            if (events.isNotEmpty() || progress) {
                stream(call, WatchResult(WireHeader(revision), events = events))
            }
        }
        if (!closed) call.abort()
    }

    private fun stream(call: Call, result: WatchResult) =
        call.stream(standInJson.encodeToString(WatchResponse.serializer(), WatchResponse(result)))

    companion object {
        private const val THREADS = 256
        private const val EXPIRY_PERIOD_MILLIS = 20L
        private const val WATCH_POLL_MILLIS = 50L
        private const val PROGRESS_MILLIS = 2_000L
        private const val NOT_FOUND = 5
        private val KINDS = mapOf(
            "/v3/kv/range" to "range",
            "/v3/kv/put" to "put",
            "/v3/kv/deleterange" to "deleterange",
            "/v3/kv/txn" to "txn",
            "/v3/lease/grant" to "grant",
            "/v3/lease/keepalive" to "keepalive",
            "/v3/lease/revoke" to "revoke",
            "/v3/watch" to "watch"
        )

        /** Returns a service that listens on the loopback [port]; 0 takes any free one. */
        fun start(port: Int = 0, address: String = LOOPBACK): KeyValueServer =
            KeyValueServer(port, address)
    }
}
