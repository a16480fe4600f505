/** The platform's stand-ins as processes, with their faults and their records. */
package sycamoremast.integration

import java.util.concurrent.CopyOnWriteArrayList
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.Resources
import sycamoremast.standins.BackendFaults
import sycamoremast.standins.Execution
import sycamoremast.standins.KeyValueFaults
import sycamoremast.standins.RunRecord
import sycamoremast.standins.WorkerFaults

/** A stand-in of [kind] in a process of its own. */
internal class StandInProcess(val kind: String, mainClass: String, vararg args: String) :
    AutoCloseable {
    val process =
        JavaProcess.start(kind, "sycamoremast.standins.$mainClass", args.toList(), heapMib = 64)

    /** The address of the stand-in; the first access waits until it listens. */
    val address: String by lazy { process.address(kind) }
    val http: TestHttp by lazy { TestHttp(address) }

    /** Replaces the active faults with [faults]. */
    inline fun <reified T> setFaults(faults: T, path: String = "/faults") {
        http.post(path, json.encodeToString(faults)).also { check(it.status == 200) { it } }
    }

    override fun close() = process.close()
}

/** All stand-ins of a deployment with the availability zones [zones]. */
internal class Platform(
    private val zones: List<String>,
    private val workersPerZone: Int,
    private val backendsPerZone: Int
) : AutoCloseable {
    private val standIns = CopyOnWriteArrayList<StandInProcess>()
    val keyValue = start("key-value", "KeyValueMainKt", "--port=0")
    val hostList = start("host-list", "HostListMainKt", "--port=0")
    private val workers = start(
        "worker",
        "WorkerMainKt",
        "--port=0",
        "--workers=${zones.size * workersPerZone}",
        "--milliCpus=$WORKER_MILLI_CPUS",
        "--memoryMib=$WORKER_MEMORY_MIB"
    )
    val backends: List<StandInProcess> = List(zones.size * backendsPerZone) {
        start("backend", "BackendMainKt", "--port=0")
    }

    init {
        hostList.http.send("PUT", "/hosts", json.encodeToString(hosts()))
    }

    /** Returns all runs of tasks so far, as recorded by the workers. */
    fun runs(): List<RunRecord> = workers.http.get("/history").read()

    /** Returns all executed requests so far, as recorded by the backend servers. */
    fun executions(): List<Execution> =
        backends.flatMap { it.http.get("/executions").read<List<Execution>>() }

    fun setKeyValueFaults(faults: KeyValueFaults) = keyValue.setFaults(faults)

    fun setBackendFaults(index: Int, faults: BackendFaults) = backends[index].setFaults(faults)

    fun setWorkerFaults(index: Int, faults: WorkerFaults) =
        workers.setFaults(faults, "/w/$index/faults")

    override fun close() = standIns.forEach { it.close() }

    private fun start(kind: String, mainClass: String, vararg args: String) =
        StandInProcess(kind, mainClass, *args).also(standIns::add)

    private fun hosts(): List<ListedHost> = zones.flatMapIndexed { z, zone ->
        List(workersPerZone) { worker(zone, z * workersPerZone + it) } +
            List(backendsPerZone) { backend(zone, z * backendsPerZone + it) }
    }

    private fun worker(zone: String, index: Int) = ListedHost(
        name = "worker-$index",
        address = "${workers.address}/w/$index",
        availabilityZone = zone,
        rack = "rack-0",
        role = HostRole.WORKER,
        state = HostState.LIVE,
        capacity = Resources(WORKER_MILLI_CPUS, WORKER_MEMORY_MIB)
    )

    private fun backend(zone: String, index: Int) = ListedHost(
        name = "backend-$index",
        address = backends[index].address,
        availabilityZone = zone,
        rack = "rack-0",
        role = HostRole.BACKEND_SERVER,
        state = HostState.LIVE,
        service = SERVICE,
        slots = 8,
        connections = 64
    )

    companion object {
        const val SERVICE = "inspection-report"
        const val WORKER_MILLI_CPUS = 4_000L
        const val WORKER_MEMORY_MIB = 16_000L
    }
}
