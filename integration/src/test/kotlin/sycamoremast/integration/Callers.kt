/** Callers that send requests and classify each outcome by the contents of the response. */
package sycamoremast.integration

import java.io.IOException
import java.net.ConnectException
import java.security.MessageDigest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * The outcome of a request as its caller sees it.
 *
 * [WHOLE] is a complete and correct response, [WRONG] any other one. [NOT_RUN] and [UNKNOWN] are
 * errors with that `X-Outcome`. [UNSENT] means that the connection was refused, [CUT_OFF] that it
 * failed later.
 */
internal enum class Outcome { WHOLE, NOT_RUN, UNKNOWN, UNSENT, CUT_OFF, WRONG }

/** A request to the stand-in backend servers, with the idempotency [key] if it has one. */
internal data class Request(
    val id: String,
    val workMillis: Long = 20,
    val path: String = "/certification-review/1",
    val key: String? = null
)

/** An outcome with the response or exception that shows it. */
internal data class Observation(val outcome: Outcome, val evidence: String)

/** Sends [request] to [http] and returns its outcome. */
internal fun call(http: TestHttp, request: Request): Outcome = observe(http, request).outcome

/** Sends [request] to [http] and returns its outcome with the evidence. */
internal fun observe(http: TestHttp, request: Request): Observation {
    val headers = mapOf("X-Request-Id" to request.id, "X-Work-Millis" to "${request.workMillis}") +
        listOfNotNull(request.key?.let { "Idempotency-Key" to it })
    return try {
        val response = http.post("/services/${Platform.SERVICE}${request.path}", "photo", headers)
        Observation(classify(request, response), "$response")
    } catch (e: ConnectException) {
        Observation(Outcome.UNSENT, "$e")
    } catch (e: IOException) {
        Observation(Outcome.CUT_OFF, "$e")
    }
}

private fun classify(request: Request, response: Response): Outcome = when {
    response.header("X-Outcome") == "not-run" -> Outcome.NOT_RUN
    response.header("X-Outcome") == "unknown" -> Outcome.UNKNOWN
    isWhole(request, response) -> Outcome.WHOLE
    else -> Outcome.WRONG
}

private fun isWhole(request: Request, response: Response): Boolean {
    val (digest, content) = response.body.split("\n", limit = 2).takeIf { it.size == 2 }
        ?: return false
    val computedDigest = MessageDigest.getInstance("SHA-256").digest(content.encodeToByteArray())
        .joinToString("") { "%02x".format(it) }
    return response.status == 200 && digest == computedDigest && content.startsWith(request.id)
}

/** Sends requests from several threads until closed; [target] picks the daemon of the n-th. */
internal class RequestLoad(
    threads: Int,
    private val workMillis: Long,
    private val target: (Int) -> TestHttp
) : AutoCloseable {
    private val stopped = AtomicBoolean()
    private val lastNumber = AtomicInteger()

    /** The observed outcomes by request id. */
    val observations = ConcurrentHashMap<String, Observation>()
    private val senders = List(threads) { thread { run() } }

    /** Returns the number of requests that ended with [outcome]. */
    fun count(outcome: Outcome): Int = observations.values.count { it.outcome == outcome }

    /** Returns the outcomes other than [expected], by request id. */
    fun except(vararg expected: Outcome): Map<String, Observation> =
        observations.filterValues { it.outcome !in expected }

    override fun close() {
        stopped.set(true)
        senders.forEach { it.join() }
    }

    private fun run() {
        while (!stopped.get()) {
            val n = lastNumber.incrementAndGet()
            val request = Request("load-$n", workMillis)
            observations[request.id] = observe(target(n), request)
        }
    }
}
