/**
 * Measures the cost of the control plane: calls to the key-value service, bytes and CPU time.
 *
 * All hosts run in this process with their default intervals. The CPU time of the process includes
 * the stand-in service, the JIT compiler and the test itself; that of the control plane's threads
 * excludes them. The system properties `control.hosts`, `control.zones`,
 * `control.changesPerMinute`, `control.burst`, `control.jobs`, `control.seconds` and
 * `control.outageSeconds` change the load.
 */
package sycamoremast.daemon.control

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Request
import okhttp3.Response
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import sycamoremast.configuration.Job
import sycamoremast.configuration.Quota
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.daemon.log.event
import sycamoremast.daemon.peer.PeerLimits
import sycamoremast.standins.KeyValueFaults
import sycamoremast.standins.KeyValueServer

class ControlCostTest {
    private val hosts = Integer.getInteger("control.hosts", 4)
    private val zones = Integer.getInteger("control.zones", 2)
    private val changesPerMinute = Integer.getInteger("control.changesPerMinute", 13)
    private val burst = Integer.getInteger("control.burst", 0)
    private val jobs = Integer.getInteger("control.jobs", 14)
    private val seconds = Integer.getInteger("control.seconds", 5)
    private val outageSeconds = Integer.getInteger("control.outageSeconds", 0)
    private val service = KeyValueServer.start()
    private val httpBytes = AtomicLong()
    private val nodes = (0 until hosts).map { number ->
        ControlNode(
            "h$number",
            "z${number % zones}",
            "127.0.0.1:${service.port}",
            times = MembershipTimes(heartbeatInterval = 500.milliseconds),
            relayTimes = RelayTimes(),
            limits = PeerLimits(),
            http = quickHttpClient().newBuilder().eventListener(ByteCounter(httpBytes)).build()
        )
    }
    private val latenciesMillis = ConcurrentLinkedQueue<Long>()

    @AfterEach
    fun close() {
        nodes.forEach { it.close() }
        service.close()
    }

    @Test
    fun `control plane stays within its budget of calls to the key-value service`() {
        nodes.forEach { it.start() }
        eventually("all live") {
            nodes.all { n -> n.states().values.count { it == MemberState.LIVE } == hosts }
        }
        eventually("each zone has a relay") { relaysBegun() >= zones }
        Thread.sleep(WARM_UP_MILLIS)
        val before = Snapshot()
        repeat(totalChanges()) { number -> submitChange("t${number % TEAMS}", number) }
        waitUntilEnd(before)
        if (burst > 0) submitBurst()
        report(before, Snapshot())
        val calls = service.calls().values.sum() - before.calls.values.sum()
        val allowed = (hosts + 3 * zones) * before.elapsedSeconds() + 4 * (totalChanges() + burst)
        expectThat(calls.toDouble()).isLessThan(allowed)
        if (outageSeconds > 0) measureOutage()
        expectThat(nodes.filter { it.replica.notReadyBecause().isNotEmpty() }).isEmpty()
    }

    private fun totalChanges() = changesPerMinute * seconds / 60

    private fun relaysBegun() = nodes.sumOf { it.relaysBegun() }

    /** Counts the calls in each second after an outage. */
    private fun measureOutage() {
        val callsBefore = service.calls().values.sum()
        service.setFaults(KeyValueFaults(down = true))
        Thread.sleep(outageSeconds * 1_000L)
        val during = Snapshot()
        service.setFaults(KeyValueFaults())
        val perSecond = (1..OBSERVED_SECONDS).map {
            val start = service.calls().values.sum()
            Thread.sleep(1_000)
            service.calls().values.sum() - start
        }
        eventually("all are ready") { nodes.all { it.replica.notReadyBecause().isEmpty() } }
        println(
            event(
                "control-outage",
                "seconds" to outageSeconds,
                "callsInOutage" to during.calls.values.sum() - callsBefore,
                "callsPerSecondAfter" to perSecond
            )
        )
    }

    private fun submitChange(team: String, number: Int) {
        val node = nodes[number % hosts]
        val from = node.replica.document(team)?.revision ?: 0
        val started = System.nanoTime()
        node.replica.submit(team, from, text(team, number), "ilze")
        eventually("in force") { nodes.all { it.revision(team) > from } }
        latenciesMillis += (System.nanoTime() - started) / 1_000_000
        Thread.sleep(60_000L / changesPerMinute)
    }

    private fun submitBurst() {
        val pool = Executors.newFixedThreadPool(burst)
        val before = Snapshot()
        val done = (0 until burst).map { number ->
            pool.submit(Callable { submitChange("burst$number", number) })
        }
        done.forEach { it.get() }
        pool.shutdown()
        println(event("control-burst", "calls" to callsSince(before)))
    }

    private fun text(team: String, number: Int) = TeamConfiguration(
        team,
        Quota(1_000_000L + number, 1_000_000),
        jobs = (0 until jobs).map { job ->
            Job("job-$number-$job", "z0", 1, 1_000, 1_024, expected = 1.minutes)
        }
    ).toIni()

    private fun waitUntilEnd(before: Snapshot) =
        eventually("time is up", (seconds + 60).seconds) { before.elapsedSeconds() >= seconds }

    private fun callsSince(before: Snapshot) =
        service.calls().mapValues { it.value - (before.calls[it.key] ?: 0) }

    private fun report(before: Snapshot, after: Snapshot) {
        val elapsed = before.elapsedSeconds()
        val sorted = latenciesMillis.sorted()
        println(
            event(
                "control-cost",
                "hosts" to hosts,
                "zones" to zones,
                "seconds" to "%.0f".format(elapsed),
                "changes" to latenciesMillis.size,
                "documentBytes" to text("t", 0).length,
                "calls" to callsSince(before),
                "callsPerSecond" to "%.2f".format(callsSince(before).values.sum() / elapsed),
                "peerBytesPerHostSecond" to
                    "%.0f".format((after.peerBytes - before.peerBytes) / elapsed / hosts),
                "peerBytesPerHostSecondWithHeadersAtMost" to
                    "%.0f".format(
                        (after.peerBytesOnWire - before.peerBytesOnWire) / elapsed / hosts
                    ),
                "storeBytesPerHostSecond" to
                    "%.0f".format((after.storeBytes - before.storeBytes) / elapsed / hosts),
                "processCpuPercentPerHost" to
                    percentPerHost(after.cpuNanos - before.cpuNanos, elapsed),
                "controlCpuPercentPerHost" to
                    percentPerHost(controlCpuNanos(before, after), elapsed),
                "inForceMillisMedian" to sorted.getOrNull(sorted.size / 2),
                "inForceMillisMost" to sorted.lastOrNull()
            )
        )
    }

    private fun percentPerHost(cpuNanos: Long, elapsed: Double) =
        "%.2f".format(cpuNanos / elapsed / hosts / 1e7)

    /**
     * Returns the CPU time that the control plane's threads used between the two snapshots.
     *
     * Threads that ended in between are not counted.
     */
    private fun controlCpuNanos(before: Snapshot, after: Snapshot) =
        after.threadNanos.entries.sumOf { (id, nanos) -> nanos - (before.threadNanos[id] ?: 0) }

    /** A snapshot of the counters; peer bytes are the sum of bytes sent and received. */
    private inner class Snapshot {
        private val nanos = System.nanoTime()
        val calls = service.calls()
        val peerBytes = nodes.sumOf { node ->
            listOf("sent", "received").sumOf {
                node.registry.counter("sycamoremast.peers.$it.bytes").count()
            }
        }

        /** An upper bound that assumes one acknowledgement for each message. */
        val peerBytesOnWire = peerBytes + 2 * 2 * HEADER_BYTES * nodes.sumOf { node ->
            node.registry.counter("sycamoremast.peers.sent.messages").count()
        }
        val storeBytes = httpBytes.get()
        val cpuNanos =
            (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

        val threadNanos = controlThreads().associate {
            it.id to ManagementFactory.getThreadMXBean().getThreadCpuTime(it.id)
        }

        private fun controlThreads() = Thread.getAllStackTraces().keys.filter { thread ->
            THREAD_PREFIXES.any { thread.name.startsWith(it) }
        }

        fun elapsedSeconds() = (System.nanoTime() - nanos) / 1e9
    }

    /** Adds up the bytes of headers and bodies in both directions. */
    private class ByteCounter(private val bytes: AtomicLong) : EventListener() {
        override fun requestHeadersEnd(call: Call, request: Request) {
            bytes.addAndGet(request.headers.byteCount())
        }

        override fun requestBodyEnd(call: Call, byteCount: Long) {
            bytes.addAndGet(byteCount)
        }

        override fun responseHeadersEnd(call: Call, response: Response) {
            bytes.addAndGet(response.headers.byteCount())
        }

        override fun responseBodyEnd(call: Call, byteCount: Long) {
            bytes.addAndGet(byteCount)
        }
    }

    private companion object {
        /** The size of the IP header and of the TCP header with timestamps. */
        const val HEADER_BYTES = 52
        const val WARM_UP_MILLIS = 3_000L
        const val TEAMS = 5
        const val OBSERVED_SECONDS = 15
        val THREAD_PREFIXES = listOf("control-", "DefaultDispatcher", "store-watch", "OkHttp")
    }
}
