/**
 * A stand-in for a backend server of a latency-critical service.
 *
 * The header `X-Work-Millis`, or a path `/run/MILLIS`, sets the run time of a request. The response
 * echoes `X-Request-Id`; its first line is the SHA-256 of the rest of the body, which starts with
 * the request id. A refusal names its reason in `X-Not-Run`. `GET /executions` lists the requests
 * that ran, `GET /usage` returns the peak usage, and `POST /faults` replaces the active faults.
 */
package sycamoremast.standins

import java.security.MessageDigest
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable
import sycamoremast.coordination.MonotonicClock

/** The limits of a backend server and the default run time of a request. */
data class BackendSettings(
    val port: Int = 0,
    val slots: Int = 8,
    val connections: Int = 64,
    val workMillis: Long = 5
)

/**
 * The injected faults of a backend server.
 *
 * [truncate] cuts each response off half-way; [lateMillis] delays it; [refuse] refuses each
 * request; [resetBefore] and [resetAfter] close the connection before and after the request runs;
 * [leaving] refuses each request with `X-Draining`; [drainNotice] only adds `X-Draining` to the
 * responses; [wrongId] echoes another request id; [slowdownPercent] scales the run time.
 */
@Serializable
data class BackendFaults(
    val truncate: Boolean = false,
    val lateMillis: Long = 0,
    val refuse: Boolean = false,
    val resetBefore: Boolean = false,
    val resetAfter: Boolean = false,
    val leaving: Boolean = false,
    val drainNotice: Boolean = false,
    val wrongId: Boolean = false,
    val slowdownPercent: Long = 100
)

/** A request that ran; [endedMillis] is null while it is running. */
@Serializable
data class Execution(
    val requestId: String,
    val idempotencyKey: String,
    val path: String,
    val startedMillis: Long,
    @Volatile var endedMillis: Long? = null
)

/** The peak numbers of slots and connections in use, and the counts of requests. */
@Serializable
data class BackendUsage(
    val maxSlots: Int,
    val maxConnections: Int,
    val refused: Long,
    val executed: Int
)

/** A running backend server. */
class BackendServer private constructor(private val settings: BackendSettings) : AutoCloseable {
    private val clock = MonotonicClock.system()
    private val slots = AtomicInteger()
    private val maxSlots = AtomicInteger()
    private val connections = OpenConnections()
    private val refused = AtomicLong()
    private val executions = ConcurrentLinkedQueue<Execution>()

    @Volatile
    private var faults = BackendFaults()

    private val server = StandInServer("backend", settings.port, THREADS, handle = ::handle)

    /** The port that the server listens on. */
    val port: Int get() = server.port

    /** Replaces the active faults with [faults]. */
    fun setFaults(faults: BackendFaults) {
        this.faults = faults
    }

    /** Returns the requests that ran or are running, in the order of their starts. */
    fun executions(): List<Execution> = executions.map { it.copy() }

    /** Returns the peak usage and the counts of requests so far. */
    fun usage() = BackendUsage(maxSlots.get(), connections.peak(), refused.get(), executions.size)

    override fun close() = server.close()

    private fun handle(call: Call) {
        when (call.path) {
            "/executions" -> call.respond(executions())
            "/usage" -> call.respond(usage())
            "/faults" -> {
                if (call.method == "POST") setFaults(call.read())
                call.respond(faults)
            }
            else -> admit(call)
        }
    }

    private fun admit(call: Call) {
        val open = connections.register(call)
        call.body()
        when {
            faults.resetBefore -> call.abort()
            faults.leaving -> refuse(call, "leaving")
            faults.refuse -> refuse(call, "refusing")
            open > settings.connections -> refuse(call, "connections")
            else -> takeSlot(call)
        }
    }

    private fun takeSlot(call: Call) {
        val inUse = slots.incrementAndGet()
        if (inUse > settings.slots) {
            slots.decrementAndGet()
            return refuse(call, "slots")
        }
        maxSlots.accumulateAndGet(inUse, ::maxOf)
        try {
            execute(call)
        } finally {
            slots.decrementAndGet()
        }
        respond(call)
    }

    private fun refuse(call: Call, limit: String) {
        refused.incrementAndGet()
        val draining = if (faults.leaving) mapOf("X-Draining" to "true") else emptyMap()
        val headers = draining + ("X-Not-Run" to limit)
        call.respondText("""{"refused":"$limit"}""", Call.STATUS_UNAVAILABLE, headers)
    }

    private fun execute(call: Call) {
        val execution = Execution(
            call.header("X-Request-Id").orEmpty(),
            call.header("Idempotency-Key").orEmpty(),
            call.path,
            clock.nowMillis()
        )
        executions += execution
        Thread.sleep(workMillis(call) * faults.slowdownPercent / PERCENT)
        execution.endedMillis = clock.nowMillis()
    }

    private fun workMillis(call: Call): Long = call.header("X-Work-Millis")?.toLongOrNull()
        ?: RUN_PATH.matchEntire(call.path)?.groupValues?.get(1)?.toLong()
        ?: settings.workMillis

    private fun respond(call: Call) {
        val active = faults
        if (active.lateMillis > 0) Thread.sleep(active.lateMillis)
        if (active.resetAfter) return call.abort()
        val requestId = call.header("X-Request-Id").orEmpty()
        val echoedId = if (active.wrongId) "other-$requestId" else requestId
        val headers = buildMap {
            put("X-Request-Id", echoedId)
            if (active.drainNotice) put("X-Draining", "true")
        }
        val body = body(echoedId, call.header("X-Body-Bytes")?.toInt() ?: 0)
        if (active.truncate) {
            call.respondTruncated(body, body.length / 2, headers)
        } else {
            call.respondText(body, headers = headers)
        }
    }

    private fun body(requestId: String, bytes: Int): String {
        val content = requestId + "\n" + "x".repeat(bytes)
        val digest = MessageDigest.getInstance("SHA-256").digest(content.encodeToByteArray())
        return digest.joinToString("") { "%02x".format(it) } + "\n" + content
    }

    companion object {
        private const val THREADS = 128
        private const val PERCENT = 100
        private val RUN_PATH = Regex("/run/(\\d+)")

        /** Starts a server with the limits of [settings]. */
        fun start(settings: BackendSettings = BackendSettings()): BackendServer =
            BackendServer(settings)
    }
}

/** Tracks the open connections that have carried at least one request. */
internal class OpenConnections {
    private val open = mutableSetOf<Any>()
    private var peak = 0

    /** Adds the connection of [call] and returns the number of open connections. */
    @Synchronized
    fun register(call: Call): Int {
        val connection = call.connection
        if (open.add(connection)) {
            call.onConnectionClosed { remove(connection) }
            peak = maxOf(peak, open.size)
        }
        return open.size
    }

    @Synchronized
    fun peak(): Int = peak

    @Synchronized
    private fun remove(connection: Any) {
        open -= connection
    }
}
