/** Whole daemons in this process, over stand-ins of the platform. */
package sycamoremast.bench.control

import java.net.InetAddress
import java.net.ServerSocket
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import sycamoremast.bench.plainClient
import sycamoremast.daemon.EntryHost
import sycamoremast.daemon.settings.DaemonSettings
import sycamoremast.standins.HostListServer
import sycamoremast.standins.KeyValueServer

/** The size of a deployment: [hosts] entry hosts, spread evenly over [zones]. */
internal data class DeploymentSize(val hosts: Int, val zones: Int, val shards: Int = 1) {
    override fun toString() = "$hosts hosts, $zones zones, $shards shards a zone"
}

/** A running deployment without any workers or backend servers. */
internal class Deployment(size: DeploymentSize) : AutoCloseable {
    private val keyValue = KeyValueServer.start()
    private val hostList = HostListServer.start()
    private val peerPorts = List(size.hosts) { freePort() }
    private val operatorPorts = List(size.hosts) { freePort() }
    private val hosts = List(size.hosts) { index ->
        val settings = DaemonSettings.parse("bench", settings(index, size))
        EntryHost.start(settings.fold({ error("bad settings: $it") }, { it }))
    }

    /** Returns the calls on the key-value service so far, by kind. */
    fun calls(): Map<String, Long> = keyValue.calls()

    /** Returns the answer to the operators' call [path] on the host [index]. */
    fun get(path: String, index: Int = 0): String? = send(request(index, path))

    /** Submits [text] as the configuration of [team], on top of the revision [from]. */
    fun submit(team: String, text: String, from: Long): Boolean {
        val body = text.toRequestBody("text/plain".toMediaType())
        val path = "/v1/teams/$team/configuration?from=$from"
        return send(request(0, path).put(body).header("X-Operator", "bench")) != null
    }

    /** Returns the hosts that answer that they are ready. */
    fun ready(): Int = hosts.indices.count { get("/ready", it) != null }

    override fun close() {
        hosts.forEach { it.stop() }
        keyValue.close()
        hostList.close()
    }

    private fun request(index: Int, path: String) =
        Request.Builder().url("http://127.0.0.1:${operatorPorts[index]}$path")

    private fun send(request: Request.Builder): String? = try {
        plainClient.newCall(request.build()).execute().use {
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
        requests = 127.0.0.1:0
        operators = 127.0.0.1:${operatorPorts[index]}
        peers = 127.0.0.1:${peerPorts[index]}

        [key-value]
        address = 127.0.0.1:${keyValue.port}

        [host-list]
        address = 127.0.0.1:${hostList.port}

        [peers]
        addresses = ${peerPorts.joinToString { "127.0.0.1:$it" }}

        [batch]
        shards = ${size.shards}
    """.trimIndent()

    private fun freePort(): Int =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
}
