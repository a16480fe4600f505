/**
 * A stand-in for a backend server of a latency-critical service.
 *
 * `X-Work-Millis`, or a path `/run/MILLIS`, says how long a request runs. The answer echoes
 * `X-Request-Id`; its first line is the SHA-256 of what follows, which starts with the request id.
 * A refusal carries `X-Not-Run` with the limit that was reached. `GET /executions` lists what ran,
 * `GET /usage` the most that was in use at a time, `POST /faults` replaces the faults in force.
 */
package sycamoremast.standins

import java.security.MessageDigest
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable
import sycamoremast.coordination.MonotonicClock

/** The limits of a backend server and the time that a request takes unless it says otherwise. */
data class BackendSettings(
    val port: Int = 0,
    val slots: Int = 8,
    val connections: Int = 64,
    val workMillis: Long = 5
)

/**
 * The faults of a backend server.
 *
 * [truncate] breaks off each answer half way; [lateMillis] delays it; [refuse] refuses each request;
 * [resetBefore] and [resetAfter] close the connection before and after the request ran; [leaving]
 * refuses each request with `X-Draining`; [drainNotice] only adds `X-Draining` to answers;
 * [wrongId] echoes another request's id; [slowdownPercent] stretches the work time.
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

/** A request that ran; [endedMillis] is absent while it runs. */
@Serializable
data class Execution(
    val requestId: String,
    val idempotencyKey: String,
    val path: String,
    val startedMillis: Long,
    @Volatile var endedMillis: Long? = null
)

/** What was in use at most at a time, and the number of refused requests. */
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

    /** Puts [faults] in force in place of the earlier ones. */
    fun setFaults(faults: BackendFaults) {
        this.faults = faults
    }

    /** Returns the requests that ran, in the order in which they started. */
    fun executions(): List<Execution> = executions.map { it.copy() }

    /** Returns what was in use at most. */
    fun usage() = BackendUsage(maxSlots.get(), connections.most(), refused.get(), executions.size)

    override fun close() = server.close()

    private fun handle(call: Call) {
        when (call.path) {
            "/executions" -> call.answer(executions())
            "/usage" -> call.answer(usage())
            "/faults" -> {
                if (call.method == "POST") setFaults(call.read())
                call.answer(faults)
            }
            else -> admit(call)
        }
    }

    private fun admit(call: Call) {
        val open = connections.seen(call)
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
        val taken = slots.incrementAndGet()
        if (taken > settings.slots) {
            slots.decrementAndGet()
            return refuse(call, "slots")
        }
        maxSlots.accumulateAndGet(taken, ::maxOf)
        try {
            execute(call)
        } finally {
            slots.decrementAndGet()
        }
        answer(call)
    }

    private fun refuse(call: Call, limit: String) {
        refused.incrementAndGet()
        val draining = if (faults.leaving) mapOf("X-Draining" to "true") else emptyMap()
        val headers = draining + ("X-Not-Run" to limit)
        call.answerText("""{"refused":"$limit"}""", Call.STATUS_UNAVAILABLE, headers)
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

    private fun answer(call: Call) {
        val now = faults
        if (now.lateMillis > 0) Thread.sleep(now.lateMillis)
        if (now.resetAfter) return call.abort()
        val requestId = call.header("X-Request-Id").orEmpty()
        val shownId = if (now.wrongId) "other-$requestId" else requestId
        val headers = buildMap {
            put("X-Request-Id", shownId)
            if (now.drainNotice) put("X-Draining", "true")
        }
        val body = body(shownId, call.header("X-Body-Bytes")?.toInt() ?: 0)
        if (now.truncate) {
            call.answerTruncated(body, body.length / 2, headers)
        } else {
            call.answerText(body, headers = headers)
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

        /** Returns a server with the limits of [settings]. */
        fun start(settings: BackendSettings = BackendSettings()): BackendServer =
            BackendServer(settings)
    }
}

/** Counts the connections that have carried a request and are still open. */
internal class OpenConnections {
    private val open = mutableSetOf<Any>()
    private var most = 0

    /** Returns the number of open connections, the one of [call] included. */
    @Synchronized
    fun seen(call: Call): Int {
        val connection = call.connection
        if (open.add(connection)) {
            call.onConnectionClosed { forget(connection) }
            most = maxOf(most, open.size)
        }
        return open.size
    }

    @Synchronized
    fun most(): Int = most

    @Synchronized
    private fun forget(connection: Any) {
        open -= connection
    }
}
