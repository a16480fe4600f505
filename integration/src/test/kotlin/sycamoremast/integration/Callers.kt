/** Callers that send requests and judge each outcome by its own contents. */
package sycamoremast.integration

import java.io.IOException
import java.net.ConnectException
import java.security.MessageDigest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** What a caller got. */
internal enum class Got { WHOLE, NOT_RUN, UNKNOWN, REFUSED_BEFORE_SENDING, CUT_OFF, WRONG }

/** A request's path, body and headers for the stand-in backend server. */
internal data class Sent(
    val id: String,
    val workMillis: Long = 20,
    val path: String = "/certification-review/1",
    val key: String? = null
)

/** What came of a request, and what shows it. */
internal data class Outcome(val got: Got, val evidence: String)

/** Sends [sent] to [http] and returns what came of it. */
internal fun call(http: TestHttp, sent: Sent): Got = outcome(http, sent).got

/** Sends [sent] to [http] and returns what came of it, with the evidence. */
internal fun outcome(http: TestHttp, sent: Sent): Outcome {
    val headers = mapOf("X-Request-Id" to sent.id, "X-Work-Millis" to "${sent.workMillis}") +
        listOfNotNull(sent.key?.let { "Idempotency-Key" to it })
    return try {
        val answer = http.post("/services/${Platform.SERVICE}${sent.path}", "photo", headers)
        Outcome(judge(sent, answer), "$answer")
    } catch (e: ConnectException) {
        Outcome(Got.REFUSED_BEFORE_SENDING, "$e")
    } catch (e: IOException) {
        Outcome(Got.CUT_OFF, "$e")
    }
}

private fun judge(sent: Sent, answer: Answer): Got = when {
    answer.header("X-Outcome") == "not-run" -> Got.NOT_RUN
    answer.header("X-Outcome") == "unknown" -> Got.UNKNOWN
    isWhole(sent, answer) -> Got.WHOLE
    else -> Got.WRONG
}

private fun isWhole(sent: Sent, answer: Answer): Boolean {
    val (digest, content) = answer.body.split("\n", limit = 2).takeIf { it.size == 2 }
        ?: return false
    val actual = MessageDigest.getInstance("SHA-256").digest(content.encodeToByteArray())
        .joinToString("") { "%02x".format(it) }
    return answer.status == 200 && digest == actual && content.startsWith(sent.id)
}

/** Sends requests from several threads until it is closed; [target] picks each one's daemon. */
internal class Load(
    threads: Int,
    private val workMillis: Long,
    private val target: (Int) -> TestHttp
) : AutoCloseable {
    private val stopped = AtomicBoolean()
    private val next = AtomicInteger()

    /** What each caller got, by request id. */
    val outcomes = ConcurrentHashMap<String, Outcome>()
    private val running = List(threads) { thread { run() } }

    /** Returns how many requests have ended with [got]. */
    fun count(got: Got): Int = outcomes.values.count { it.got == got }

    /** Returns the outcomes other than [expected], by request id. */
    fun others(vararg expected: Got): Map<String, Outcome> =
        outcomes.filterValues { it.got !in expected }

    override fun close() {
        stopped.set(true)
        running.forEach { it.join() }
    }

    private fun run() {
        while (!stopped.get()) {
            val n = next.incrementAndGet()
            val sent = Sent("load-$n", workMillis)
            outcomes[sent.id] = outcome(target(n), sent)
        }
    }
}
