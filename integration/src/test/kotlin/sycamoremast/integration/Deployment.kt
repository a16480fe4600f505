/** A complete deployment of stand-ins and daemons on loopback addresses. */
package sycamoremast.integration

import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicInteger
import org.netcrusher.core.filter.TransformFilter
import org.netcrusher.core.reactor.NioReactor
import org.netcrusher.tcp.TcpCrusher
import org.netcrusher.tcp.TcpCrusherBuilder
import sycamoremast.configuration.TeamConfiguration
import sycamoremast.configuration.operator.JobView

/** The size of a deployment; the daemons of each zone reach the platform through proxies. */
internal data class Layout(
    val zones: List<String> = listOf("gauja"),
    val daemonsPerZone: Int = 1,
    val workersPerZone: Int = 2,
    val backendsPerZone: Int = 1,
    val shards: Int = 1
)

/** A running deployment of [layout]; closing it kills all of its processes. */
internal class Deployment(private val layout: Layout) : AutoCloseable {
    val platform = Platform(layout.zones, layout.workersPerZone, layout.backendsPerZone)
    private val links = layout.zones.associateWith { PlatformLink(platform) }
    private val settings = layout.zones.flatMap { zone ->
        (1..layout.daemonsPerZone).map { "$zone-$it" to settings(zone, "$zone-$it") }
    }
    val daemons: MutableList<EntryHostProcess> =
        settings.map { (name, text) -> EntryHostProcess(name, text) }.toMutableList()

    private var revision = 0L

    init {
        daemons.forEach { it.awaitReady() }
        await("all daemons see one another", ::logs) { daemons.all(::seesAll) }
        daemons.forEach { it.awaitServing() }
    }

    /** Returns the link of [zone] to the platform, for injecting network faults. */
    fun link(zone: String): PlatformLink = links.getValue(zone)

    /** Restarts the stopped daemon [index] with the same settings. */
    fun restart(index: Int) {
        val (name, text) = settings[index]
        daemons[index] = EntryHostProcess(name, text).also {
            it.awaitReady()
            it.awaitServing()
        }
    }

    /** Submits [configuration] on top of the last revision and waits until all daemons apply it. */
    fun submit(configuration: TeamConfiguration): Long {
        val live = daemons.filter { it.process.isAlive }
        val team = configuration.team
        revision = live.first().submit(team, revision, configuration.toIni()).revision
        await("all daemons apply revision $revision", ::logs) {
            live.all { daemon ->
                daemon.status().documents.any { it.team == team && it.revision >= revision }
            }
        }
        return revision
    }

    /** Waits until [daemon] shows the job [name] in [state] and returns it. */
    fun awaitJob(daemon: EntryHostProcess, name: String, state: String): JobView =
        eventually("job $name is $state", { "${daemon.jobs()}\n${logs()}" }) {
            daemon.job(name)?.takeIf { it.state == state }
        }

    /** Returns the last log lines of all daemons. */
    fun logs(): String = daemons.joinToString("\n") { daemon ->
        "--- ${daemon.name}\n" + daemon.process.output().takeLast(LOG_LINES).joinToString("\n")
    }

    override fun close() {
        daemons.forEach { it.close() }
        links.values.forEach { it.close() }
        platform.close()
    }

    private fun seesAll(daemon: EntryHostProcess) =
        daemon.status().members.count { it.state == "live" } == daemons.size

    private fun settings(zone: String, name: String) = """
        [host]
        name = $name
        availability-zone = $zone
        [listen]
        requests = 127.0.0.1:0
        operators = 127.0.0.1:0
        peers = 127.0.0.1:0
        [key-value]
        address = ${link(zone).keyValueAddress}
        lease-millis = $LEASE_MILLIS
        [host-list]
        address = ${link(zone).hostListAddress}
        refresh-millis = 200
        [peers]
        heartbeat-millis = 200
        [batch]
        shards = ${layout.shards}
        worker-lease-millis = $LEASE_MILLIS
        heartbeat-millis = 200
        [requests]
        max-body-bytes = $MAX_BODY_BYTES
    """.trimIndent()

    companion object {
        const val LEASE_MILLIS = 2_000L
        const val MAX_BODY_BYTES = 65_536
        private const val LOG_LINES = 25
    }
}

/** What a link does to the data that the platform sends: drop, delay, or reset the connection. */
internal enum class LinkFault { CUT_ONE_WAY, SLOW, RESET }

/** The proxies between one availability zone and the platform. */
internal class PlatformLink(platform: Platform) : AutoCloseable {
    private val reactor = NioReactor()
    private val keyValue = proxy(platform.keyValue.address)
    private val hostList = proxy(platform.hostList.address)
    val keyValueAddress = "127.0.0.1:${keyValue.bindAddress.port}"
    val hostListAddress = "127.0.0.1:${hostList.bindAddress.port}"

    /** The fault that the link injects, or null if it works. */
    @Volatile
    var fault: LinkFault? = null

    /** The number of received chunks that [fault] affected. */
    val affectedChunks = AtomicInteger()

    /** Cuts the zone off from the platform: closes connections and refuses new ones. */
    fun cut() {
        keyValue.close()
        hostList.close()
    }

    /** Undoes [cut]. */
    fun restore() {
        keyValue.open()
        hostList.open()
    }

    override fun close() {
        listOf(keyValue, hostList).filter { it.isOpen }.forEach { it.close() }
        reactor.close()
    }

    private fun proxy(address: String): TcpCrusher = TcpCrusherBuilder.builder()
        .withReactor(reactor)
        .withBindAddress(InetSocketAddress("127.0.0.1", freePort()))
        .withConnectAddress("127.0.0.1", address.substringAfter(':').toInt())
        .withIncomingTransformFilterFactory { TransformFilter(::injectFault) }
        .buildAndOpen()

    private fun injectFault(bytes: ByteBuffer) {
        val active = fault ?: return
        affectedChunks.incrementAndGet()
        when (active) {
            LinkFault.CUT_ONE_WAY -> bytes.position(bytes.limit())
            LinkFault.SLOW -> Thread.sleep(SLOW_MILLIS)
            LinkFault.RESET -> throw IOException("reset by the test")
        }
    }

    /** Returns a free port, as the proxy does not report which port it binds to. */
    private fun freePort() = ServerSocket(0).use { it.localPort }

    private companion object {
        const val SLOW_MILLIS = 50L
    }
}
