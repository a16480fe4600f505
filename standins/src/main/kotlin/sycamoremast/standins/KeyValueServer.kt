/**
 * A stand-in for the platform's key-value service.
 *
 * It implements a part of the JSON API of etcd v3: range, txn, put, deleterange, lease grant,
 * keepalive and revoke, and a streamed watch. `GET /calls` returns the number of calls by kind,
 * `POST /faults` replaces the active faults, and `GET /faults` returns them.
 */
package sycamoremast.standins

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable

/**
 * The injected faults of the key-value service.
 *
 * [down] closes connections before a call takes effect; [slowMillis] delays each call;
 * [dropAnswers] is the number of following writes that take effect but get no response;
 * [freezeWatch] holds back the events of watches; [expireLeases] expires all current leases
 * immediately, once.
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
    private val responsesToDrop = AtomicInteger()

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

    /** Returns the active faults, with the remaining number of responses to drop. */
    fun faults(): KeyValueFaults = faults.copy(dropAnswers = responsesToDrop.get())

    /** Replaces the active faults with [faults]. */
    fun setFaults(faults: KeyValueFaults) {
        this.faults = faults.copy(expireLeases = false)
        responsesToDrop.set(faults.dropAnswers)
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
            "/calls" -> call.respond(calls())
            "/faults" -> handleFaults(call)
            else -> serve(call)
        }
    }

    private fun handleFaults(call: Call) {
        if (call.method == "POST") setFaults(call.read())
        call.respond(faults())
    }

    private fun serve(call: Call) {
        val kind = KINDS[call.path]
        if (kind == null) {
            call.respond(WireError("no such call: ${call.path}", NOT_FOUND), Call.STATUS_NOT_FOUND)
            return
        }
        counts.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (faults.down) return call.abort()
        dispatch(kind, call)
    }

    private fun dispatch(kind: String, call: Call) {
        when (kind) {
            "range" -> call.respond(state.range(call.read()))
            "put" -> respondToWrite(call, state.put(call.read()))
            "deleterange" -> respondToWrite(call, state.delete(call.read()))
            "txn" -> respondToWrite(call, state.txn(call.read()))
            "grant" -> call.respond(state.grant(call.read<LeaseRequest>().ttlSeconds))
            "keepalive" -> {
                val lease = state.keepAlive(call.read<LeaseRequest>().id)
                call.respond(KeepAliveResponse(lease))
            }
            "revoke" -> revoke(call)
            "watch" -> watch(call, call.read<WatchRequest>().create)
        }
    }

    private inline fun <reified T : Any> respondToWrite(call: Call, response: T?) {
        if (responsesToDrop.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0) return call.abort()
        if (response == null) return respondLeaseNotFound(call)
        call.respond(response)
    }

    private fun revoke(call: Call) {
        if (!state.revoke(call.read<LeaseRequest>().id)) return respondLeaseNotFound(call)
        call.respond(HeaderResponse(WireHeader(state.currentRevision())))
    }

    private fun respondLeaseNotFound(call: Call) =
        call.respond(WireError("requested lease not found", NOT_FOUND), Call.STATUS_NOT_FOUND)

    private fun watch(call: Call, request: WatchCreate) {
        var nextRevision = request.startRevision.takeIf { it > 0 } ?: (state.currentRevision() + 1)
        var idleMillis = 0L
        sendEvent(call, WatchResult(WireHeader(state.currentRevision()), created = true))
        while (!closed && !faults.down) {
            if (faults.freezeWatch) {
                Thread.sleep(WATCH_POLL_MILLIS)
                continue
            }
            val (events, revision) = state.awaitChanges(request, nextRevision, WATCH_POLL_MILLIS)
            nextRevision = maxOf(nextRevision, revision + 1)
            idleMillis = if (events.isEmpty()) idleMillis + WATCH_POLL_MILLIS else 0
            val isProgressDue = request.progressNotify && idleMillis >= PROGRESS_INTERVAL_MILLIS
            if (isProgressDue) idleMillis = 0
            if (events.isNotEmpty() || isProgressDue) {
                sendEvent(call, WatchResult(WireHeader(revision), events = events))
            }
        }
        if (!closed) call.abort()
    }

    private fun sendEvent(call: Call, result: WatchResult) =
        call.sendLine(standInJson.encodeToString(WatchResponse.serializer(), WatchResponse(result)))

    companion object {
        private const val THREADS = 256
        private const val EXPIRY_PERIOD_MILLIS = 20L
        private const val WATCH_POLL_MILLIS = 50L
        private const val PROGRESS_INTERVAL_MILLIS = 2_000L
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

        /** Starts a service that listens on [port] of [address]; port 0 picks a free one. */
        fun start(port: Int = 0, address: String = LOOPBACK): KeyValueServer =
            KeyValueServer(port, address)
    }
}
