/** A deployment of complete daemons in this process, with stand-ins for the platform. */
package sycamoremast.bench.control

import java.util.concurrent.atomic.AtomicInteger
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import sycamoremast.bench.httpClient
import sycamoremast.daemon.EntryHost
import sycamoremast.daemon.settings.DaemonSettings
import sycamoremast.standins.HostListServer
import sycamoremast.standins.KeyValueServer

/**
 * The size of a deployment: [hosts] entry hosts spread evenly over [zones].
 *
 * [shards] is the number of batch shards per zone.
 */
internal data class DeploymentSize(val hosts: Int, val zones: Int, val shards: Int = 1) {
    override fun toString() = "$hosts hosts, $zones zones, $shards shards a zone"
}

/** A running deployment that has no workers or backend servers. */
internal class Deployment(size: DeploymentSize) : AutoCloseable {
    private val keyValue = KeyValueServer.start()
    private val hostList = HostListServer.start()
    private val network = "127.${PROCESS_NETWORK}.${lastNetwork.incrementAndGet()}"
    private val hosts = List(size.hosts) { index ->
        val settings = DaemonSettings.parse("bench", settings(index, size))
        EntryHost.start(settings.fold({ error("invalid daemon settings: $it") }, { it }))
    }

    /** Returns the number of calls on the key-value service so far, by kind. */
    fun storeCalls(): Map<String, Long> = keyValue.calls()

    /** Returns the body of [path] on the operators' port of host [index], or null on error. */
    fun get(path: String, index: Int = 0): String? = send(request(index, path))

    /**
     * Submits [text] as the configuration of [team], based on revision [from].
     *
     * Returns whether it was accepted.
     */
    fun submit(team: String, text: String, from: Long): Boolean {
        val body = text.toRequestBody("text/plain".toMediaType())
        val path = "/v1/teams/$team/configuration?from=$from"
        return send(request(0, path).put(body).header("X-Operator", "bench")) != null
    }

    /** Returns the number of hosts whose readiness check succeeds. */
    fun readyHosts(): Int = hosts.indices.count { get("/ready", it) != null }

    override fun close() {
        hosts.forEach { it.stop() }
        keyValue.close()
        hostList.close()
    }

    private fun request(index: Int, path: String) =
        Request.Builder().url("http://${ip(index)}:$OPERATORS_PORT$path")

    private fun send(request: Request.Builder): String? = try {
        httpClient.newCall(request.build()).execute().use {
            if (it.isSuccessful) it.body.string() else null
        }
    } catch (e: java.io.IOException) {
        null
    }

    private fun settings(index: Int, size: DeploymentSize) = """
        [host]
        name = entry-$index
        availability-zone = zone-${index % size.zones}

        [listen]
        requests = ${ip(index)}:0
        operators = ${ip(index)}:$OPERATORS_PORT
        peers = ${ip(index)}:$PEERS_PORT

        [key-value]
        address = 127.0.0.1:${keyValue.port}

        [host-list]
        address = 127.0.0.1:${hostList.port}

        [peers]
        addresses = ${(0 until size.hosts).joinToString { "${ip(it)}:$PEERS_PORT" }}

        [batch]
        shards = ${size.shards}
    """.trimIndent()

    /** Returns a loopback address that only this host uses, so that its fixed ports are free. */
    private fun ip(index: Int) = "$network.${index + 1}"

    private companion object {
        const val OPERATORS_PORT = 7002
        const val PEERS_PORT = 7003
        const val FIRST_NETWORK = 100
        const val NETWORKS = 100
        val PROCESS_NETWORK = FIRST_NETWORK + (ProcessHandle.current().pid() % NETWORKS).toInt()
        val lastNetwork = AtomicInteger()
    }
}
