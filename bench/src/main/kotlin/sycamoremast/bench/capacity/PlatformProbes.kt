/** Probes of the calls to the platform's key-value service and to the workers. */
package sycamoremast.bench.capacity

import arrow.core.Either
import kotlin.time.Duration.Companion.seconds
import sycamoremast.bench.postForResponseBytes
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.LeaseRenewal
import sycamoremast.coordination.Resources
import sycamoremast.coordination.StartOrder
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.SwapOutcome
import sycamoremast.coordination.WorkerError
import sycamoremast.coordination.WorkerPort
import sycamoremast.daemon.platform.HttpKeyValueStore
import sycamoremast.daemon.platform.HttpWorkerPort
import sycamoremast.daemon.platform.PlatformTimeouts
import sycamoremast.daemon.platform.platformHttpClient
import sycamoremast.standins.KeyValueServer
import sycamoremast.standins.WorkerServer
import sycamoremast.standins.WorkerSettings

private const val WARM_UPS = 2
private const val CALLS = 200
private const val BYTES_PER_KIB = 1024
private const val ROUND_WARM_UPS = 20
private const val LEASE_MILLIS = 600_000L
private const val TASK_MILLIS = 600_000L
private const val TASKS_PER_WORKER = 10
private val VALUE_SIZES_KIB = listOf(1, 16, 64, 256)
private val WORKERS = listOf(10, 40, 160)
private val TASKS_ON_A_WORKER = listOf(0, 5, 20, 80)
private val TIMEOUTS = PlatformTimeouts(call = 10.seconds, connect = 5.seconds)
private val WATCH_IDLE_TIMEOUT = 30.seconds

internal fun platformCallProbes(): List<Probe> {
    val sizes = VALUE_SIZES_KIB
    return listOf(
        Probe("platform calls", "swap", "CPU us per call", "KiB of value", sizes) { size, _ ->
            withStore { store -> swapCpuMicros(store, size) }
        },
        Probe("platform calls", "get", "CPU us per call", "KiB of value", sizes) { size, _ ->
            withStore { store -> getCpuMicros(store, size) }
        },
        Probe("platform calls", "swap time", "us, median", "KiB of value", sizes) { size, _ ->
            withStore { store -> swapMedianMicros(store, size) }
        }
    )
}

internal fun workerRoundProbes(): List<Probe> {
    val workers = WORKERS
    val tasks = TASKS_ON_A_WORKER
    return listOf(
        Probe("shard owner", "heartbeat round", "CPU us", "workers", workers) { size, _ ->
            withWorkers(size, TASKS_PER_WORKER) { ports, _ ->
                medianCpuMicros(ROUND_WARM_UPS) { ports.forEach(::renew) }
            }
        },
        Probe("shard owner", "heartbeat", "CPU us", "tasks on the worker", tasks) { size, _ ->
            withWorkers(1, size) { ports, _ ->
                medianCpuMicros(WARM_UPS) { repeat(CALLS) { renew(ports[0]) } } / CALLS
            }
        },
        Probe("shard owner", "heartbeat answer", "bytes", "tasks on the worker", tasks) { n, _ ->
            withWorkers(1, n) { _, server -> reportBytes(server) }
        }
    )
}

private fun <T> withStore(action: (KeyValueStore) -> T): T = KeyValueServer.start().use {
    val http = platformHttpClient(TIMEOUTS)
    action(HttpKeyValueStore.at("127.0.0.1:${it.port}", http, WATCH_IDLE_TIMEOUT))
}

private fun swapCpuMicros(store: KeyValueStore, sizeKib: Int): Double {
    val value = "v".repeat(sizeKib * BYTES_PER_KIB)
    var version = 0L
    return medianCpuMicros(1) {
        repeat(CALLS) {
            val outcome = storeValue(store.compareAndSwap("bench", version, value))
            version = (outcome as SwapOutcome.Applied).version
        }
    } / CALLS
}

private fun swapMedianMicros(store: KeyValueStore, sizeKib: Int): Double {
    val value = "v".repeat(sizeKib * BYTES_PER_KIB)
    var version = 0L
    val times = List(CALLS) {
        val start = System.nanoTime()
        val outcome = storeValue(store.compareAndSwap("bench", version, value))
        version = (outcome as SwapOutcome.Applied).version
        (System.nanoTime() - start) / NANOS_PER_MICRO
    }
    return times.sorted()[CALLS / 2]
}

private fun getCpuMicros(store: KeyValueStore, sizeKib: Int): Double {
    storeValue(store.compareAndSwap("bench", 0, "v".repeat(sizeKib * BYTES_PER_KIB)))
    return medianCpuMicros(2) { repeat(CALLS) { storeValue(store.get("bench")) } } / CALLS
}

/** Starts [workers] workers with [tasks] running tasks each and passes them to [action]. */
private fun <T> withWorkers(
    workers: Int,
    tasks: Int,
    action: (List<WorkerPort>, WorkerServer) -> T
): T = WorkerServer.start(WorkerSettings(workers = workers)).use { server ->
    val http = platformHttpClient(TIMEOUTS)
    val ports = List(workers) { HttpWorkerPort.at(server.address(it), http) }
    ports.forEach { port ->
        renew(port)
        repeat(tasks) { n -> workerValue(port.start(order("team/survey-2027-03/$n"))) }
    }
    action(ports, server)
}

private fun order(id: String) = StartOrder(id, 1, 1, Resources(1, 1), TASK_MILLIS)

private fun renew(port: WorkerPort) {
    val now = System.nanoTime() / NANOS_PER_MILLI
    workerValue(port.renew(LeaseRenewal("entry-1", 1, LEASE_MILLIS, now)))
}

private fun reportBytes(server: WorkerServer): Double {
    val renewal = """{"owner":"entry-1","epoch":1,"ttlMillis":1,"echoMillis":0}"""
    return postForResponseBytes("http://${server.address()}/renew", renewal).toDouble()
}

/** Returns the value of a successful call on the store. */
private fun <T> storeValue(result: Either<StoreError, T>): T = result.fold({
    error("call on the key-value service failed: $it")
}, { it })

/** Returns the value of a successful call on a worker. */
private fun <T> workerValue(result: Either<WorkerError, T>): T =
    result.fold({ error("call on a worker failed: $it") }, { it })

private const val NANOS_PER_MILLI = 1_000_000
private const val NANOS_PER_MICRO = 1000.0
