/**
 * Measures the load of the control plane on the key-value service, and the time until a changed
 * configuration is in force on all hosts.
 */
package sycamoremast.bench.control

import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlinx.serialization.json.Json
import sycamoremast.bench.Experiment
import sycamoremast.bench.ExperimentResult
import sycamoremast.bench.LatencyRecorder
import sycamoremast.bench.NamedLatency
import sycamoremast.bench.ResultTable
import sycamoremast.bench.cell
import sycamoremast.bench.latencyTable
import sycamoremast.configuration.Quota
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.configuration.operator.ConfirmationView

internal object ControlCalls : Experiment {
    override val name = "control-calls"
    override val summary = "Calls on the key-value service by hosts, zones, shards and changes"

    private const val SETTLE_MILLIS = 6_000L
    private const val IDLE_MILLIS = 10_000L
    private const val READY_TIMEOUT_MILLIS = 20_000L
    private const val POLL_MILLIS = 20L
    private const val CHANGES = 40
    private const val CONFIRM_TIMEOUT_MILLIS = 10_000L
    private const val MILLIS_PER_SECOND = 1000.0
    private const val NANOS_PER_MICRO = 1_000
    private val DEPLOYMENT_SIZES = listOf(
        DeploymentSize(hosts = 1, zones = 1),
        DeploymentSize(hosts = 3, zones = 1),
        DeploymentSize(hosts = 6, zones = 1),
        DeploymentSize(hosts = 6, zones = 2),
        DeploymentSize(hosts = 6, zones = 3),
        DeploymentSize(hosts = 1, zones = 1, shards = 4),
        DeploymentSize(hosts = 3, zones = 1, shards = 4),
        DeploymentSize(hosts = 1, zones = 1, shards = 8)
    )

    /** The calls per second, by kind, of a deployment without changes or traffic. */
    private data class IdleRates(val size: DeploymentSize, val perSecond: Map<String, Double>)

    override fun run(seed: Long): ExperimentResult {
        val threads = Executors.newFixedThreadPool(DEPLOYMENT_SIZES.size)
        val idle = DEPLOYMENT_SIZES
            .map { size -> CompletableFuture.supplyAsync({ measureIdle(size) }, threads) }
            .map { it.join() }
        threads.shutdown()
        val (changes, latency) = measureChanges(DeploymentSize(hosts = 6, zones = 3))
        val latencies = latencyTable("$name-in-force", listOf(latency))
        return ExperimentResult(listOf(idleTable(idle), changes, latencies))
    }

    private fun measureIdle(size: DeploymentSize): IdleRates = Deployment(size).use { deployment ->
        awaitReady(deployment, size)
        Thread.sleep(SETTLE_MILLIS)
        IdleRates(size, callsPerSecond(deployment))
    }

    /** Counts the calls over [IDLE_MILLIS] and returns the calls per second by kind. */
    private fun callsPerSecond(deployment: Deployment): Map<String, Double> {
        val before = deployment.storeCalls()
        val start = System.nanoTime()
        Thread.sleep(IDLE_MILLIS)
        val after = deployment.storeCalls()
        val seconds = (System.nanoTime() - start) / NANOS_PER_MICRO / MILLIS_PER_SECOND /
            MILLIS_PER_SECOND
        return after.mapValues { (kind, count) -> (count - (before[kind] ?: 0)) / seconds }
    }

    /**
     * Submits [CHANGES] changes one after the other and measures calls and latency.
     *
     * The calls that the deployment makes when idle are subtracted.
     */
    private fun measureChanges(size: DeploymentSize): Pair<ResultTable, NamedLatency> =
        Deployment(size).use { deployment ->
            awaitReady(deployment, size)
            Thread.sleep(SETTLE_MILLIS)
            val idleRates = callsPerSecond(deployment)
            val recorder = LatencyRecorder()
            val before = deployment.storeCalls()
            val start = System.nanoTime()
            var confirmed = 0
            repeat(CHANGES) { n -> if (applyChange(deployment, n.toLong(), recorder)) confirmed++ }
            val micros = (System.nanoTime() - start) / NANOS_PER_MICRO
            val seconds = micros / MILLIS_PER_SECOND / MILLIS_PER_SECOND
            val after = deployment.storeCalls()
            val perChange = after.mapValues { (kind, count) ->
                (count - (before[kind] ?: 0) - (idleRates[kind] ?: 0.0) * seconds) / CHANGES
            }
            val table = changeTable(perChange, confirmed)
            table to NamedLatency("in force on all of $size", recorder.snapshot())
        }

    /**
     * Submits change [n] and waits for its confirmation.
     *
     * Returns whether it was in force on all hosts within the timeout.
     */
    private fun applyChange(deployment: Deployment, n: Long, recorder: LatencyRecorder): Boolean {
        val quota = Quota(milliCpus = 1_000 + n, memoryMib = 1_000)
        val start = System.nanoTime()
        val text = TeamConfiguration("inspectors", quota).toIni()
        check(deployment.submit("inspectors", text, from = n)) { "change $n was rejected" }
        val path = "/v1/teams/inspectors/confirmations?revision=${n + 1}" +
            "&timeoutMillis=$CONFIRM_TIMEOUT_MILLIS"
        val response = deployment.get(path) ?: return false
        recorder.record((System.nanoTime() - start) / NANOS_PER_MICRO)
        val json = Json { ignoreUnknownKeys = true }
        return json.decodeFromString<ConfirmationView>(response)
            .unconfirmed.isEmpty()
    }

    private fun awaitReady(deployment: Deployment, size: DeploymentSize) {
        val end = System.nanoTime() + READY_TIMEOUT_MILLIS * NANOS_PER_MICRO * NANOS_PER_MICRO
        while (deployment.readyHosts() < size.hosts) {
            check(System.nanoTime() < end) { "only ${deployment.readyHosts()} of $size ready" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun idleTable(idle: List<IdleRates>): ResultTable {
        val kinds = idle.flatMap { it.perSecond.keys }.distinct().sorted()
        return ResultTable(
            "$name-idle",
            listOf("hosts", "zones", "shards_a_zone", "calls_per_s") + kinds.map { "${it}_per_s" },
            idle.map { (size, calls) ->
                val sizes = listOf(size.hosts, size.zones, size.shards).map { it.toString() }
                sizes + cell(calls.values.sum()) + kinds.map { cell(calls[it] ?: 0.0) }
            }
        )
    }

    private fun changeTable(perChange: Map<String, Double>, confirmed: Int): ResultTable {
        val rows = perChange.map { (kind, calls) -> listOf("$kind calls a change", cell(calls)) }
        val total = listOf("all calls a change", cell(perChange.values.sum()))
        val share = listOf("changes in force on all hosts, of $CHANGES", confirmed.toString())
        return ResultTable("$name-changes", listOf("what", "value"), rows + listOf(total, share))
    }
}
