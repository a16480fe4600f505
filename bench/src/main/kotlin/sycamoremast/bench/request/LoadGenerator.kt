/**
 * An open-loop load generator: requests are sent at their arrival times, regardless of how many
 * are outstanding.
 *
 * A rejected request is retried after the delay given in the response, up to a maximum number of
 * retries. The JDK's HTTP client is used because it needs no thread per call. All requests are
 * POST, which that client never retries by itself.
 */
package sycamoremast.bench.request

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.TimeUnit.NANOSECONDS
import java.util.concurrent.TimeUnit.SECONDS
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

internal class LoadGenerator(private val maxRetries: Int, private val ports: () -> List<Int>) :
    AutoCloseable {
    private val executor = Executors.newFixedThreadPool(CLIENT_THREADS) { daemonThread(it) }
    private val timer = ScheduledThreadPoolExecutor(1) { daemonThread(it) }
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(CONNECT_TIMEOUT_SECONDS))
        .executor(executor)
        .build()
    private val samples = ConcurrentLinkedQueue<Sample>()
    private val nextPort = AtomicInteger()
    private val lastId = AtomicLong()

    @Volatile
    private var endMillis = 0.0

    /**
     * Sends all [arrivals] and returns their samples once each call has ended.
     *
     * A retry that would start at or after [durationMillis] is not sent.
     */
    fun run(arrivals: List<Arrival>, durationMillis: Long): List<Sample> {
        samples.clear()
        endMillis = durationMillis.toDouble()
        val pending = CountDownLatch(arrivals.size)
        val start = System.nanoTime()
        arrivals.forEach { arrival ->
            val at = (arrival.atMillis * NANOS_PER_MILLI).toLong() - (System.nanoTime() - start)
            timer.schedule({ send(arrival.workload, start, 0, pending) }, at, NANOSECONDS)
        }
        check(pending.await(MAX_RUN_SECONDS, SECONDS)) { "${pending.count} calls unfinished" }
        return samples.sortedBy { it.atMillis }
    }

    override fun close() {
        timer.shutdownNow()
        executor.shutdownNow()
    }

    private fun send(workload: Workload, start: Long, attempt: Int, pending: CountDownLatch) {
        val id = "r${lastId.incrementAndGet()}"
        val sent = System.nanoTime()
        client.sendAsync(request(workload, id), HttpResponse.BodyHandlers.ofString())
            .whenComplete { response, _ ->
                val micros = (System.nanoTime() - sent) / NANOS_PER_MICRO
                val outcome = outcomeOf(workload, id, response, micros)
                val at = (sent - start) / NANOS_PER_MILLI
                val (kind, _, work) = workload
                val reason = response?.let(::reasonOf).orEmpty()
                samples += Sample(kind, work, at, micros, outcome, attempt, reason)
                val retryMillis = response?.let(::retryAfterMillis) ?: 0
                val now = (System.nanoTime() - start) / NANOS_PER_MILLI
                val willRetry = outcome == SampleOutcome.NOT_RUN &&
                    attempt < maxRetries &&
                    now + retryMillis < endMillis
                if (!willRetry) return@whenComplete pending.countDown()
                val retry = Runnable { send(workload, start, attempt + 1, pending) }
                timer.schedule(retry, retryMillis, MILLISECONDS)
            }
    }

    private fun request(workload: Workload, id: String): HttpRequest {
        val openPorts = ports()
        val port = openPorts[Math.floorMod(nextPort.getAndIncrement(), openPorts.size)]
        return HttpRequest.newBuilder(URI("http://127.0.0.1:$port${workload.path}"))
            .timeout(Duration.ofMillis(workload.deadlineMillis + GRACE_MILLIS))
            .header("X-Request-Id", id)
            .header("X-Work-Millis", workload.workMillis.toString())
            .header("X-Deadline-Millis", workload.deadlineMillis.toString())
            .header("X-Team", workload.team)
            .POST(HttpRequest.BodyPublishers.ofString("photo"))
            .build()
    }

    private fun outcomeOf(
        workload: Workload,
        id: String,
        response: HttpResponse<String>?,
        micros: Long
    ): SampleOutcome = when {
        response == null -> SampleOutcome.CUT_OFF

        response.statusCode() == STATUS_OK -> when {
            !isIntact(id, response) -> SampleOutcome.MISMATCHED
            micros > workload.deadlineMillis * MICROS_PER_MILLI -> SampleOutcome.LATE
            else -> SampleOutcome.ANSWERED
        }

        response.headers().firstValue("X-Outcome").orElse("") == "not-run" -> SampleOutcome.NOT_RUN

        response.headers().firstValue("X-Not-Run").isPresent -> SampleOutcome.NOT_RUN

        else -> SampleOutcome.UNKNOWN
    }

    /**
     * Returns the reason in an error response, or an empty string for a successful one.
     *
     * Numbers, and the text from the first parenthesis on, which names peers, are removed so that
     * equal reasons group together.
     */
    private fun reasonOf(response: HttpResponse<String>): String {
        if (response.statusCode() == STATUS_OK) return ""
        return response.body().substringBefore('(').take(MAX_REASON_CHARS)
            .replace(NUMBERS, "N").trim()
    }

    private fun isIntact(id: String, response: HttpResponse<String>): Boolean {
        val digest = response.body().substringBefore('\n')
        val content = response.body().substringAfter('\n', "")
        val bytes = MessageDigest.getInstance("SHA-256").digest(content.encodeToByteArray())
        return content.startsWith("$id\n") && digest == bytes.joinToString("") { "%02x".format(it) }
    }

    private fun retryAfterMillis(response: HttpResponse<String>): Long = response.headers()
        .firstValue("X-Retry-After-Millis").map { it.toLong() }.orElse(DEFAULT_RETRY_MILLIS)

    private fun daemonThread(task: Runnable) = Thread(task, "load").apply { isDaemon = true }

    companion object {
        private const val CLIENT_THREADS = 4
        private const val CONNECT_TIMEOUT_SECONDS = 5L
        private const val MAX_RUN_SECONDS = 120L
        private const val GRACE_MILLIS = 5_000L
        private const val DEFAULT_RETRY_MILLIS = 1_000L
        private const val MAX_REASON_CHARS = 120
        private val NUMBERS = Regex("[0-9]+([.][0-9]+)?")
        private const val STATUS_OK = 200
        private const val NANOS_PER_MILLI = 1_000_000.0
        private const val NANOS_PER_MICRO = 1_000L
        private const val MICROS_PER_MILLI = 1_000L
    }
}
