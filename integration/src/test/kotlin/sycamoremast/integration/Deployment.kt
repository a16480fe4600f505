/** Stand-ins and daemons that form a whole deployment on loopback addresses. */
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

/** How many of each there are; the daemons of all [zones] reach the platform through proxies. */
internal data class Layout(
    val zones: List<String> = listOf("gauja"),
    val daemonsPerZone: Int = 1,
    val workersPerZone: Int = 2,
    val backendsPerZone: Int = 1,
    val shards: Int = 1
)

/** A running deployment of [layout]; closing it ends all of its processes. */
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
        await("all daemons know one another", ::logs) { daemons.all(::knowsAll) }
        daemons.forEach { it.awaitServing() }
    }

    /** Returns the link of [zone] to the platform, which can be cut. */
    fun link(zone: String): PlatformLink = links.getValue(zone)

    /** Starts the ended daemon [index] again, with the same settings. */
    fun restart(index: Int) {
        val (name, text) = settings[index]
        daemons[index] = EntryHostProcess(name, text).also {
            it.awaitReady()
            it.awaitServing()
        }
    }

    /** Submits [configuration] on top of the last one, and waits until it is in force. */
    fun submit(configuration: TeamConfiguration): Long {
        val live = daemons.filter { it.process.isAlive }
        val team = configuration.team
        revision = live.first().submit(team, revision, configuration.toIni()).revision
        await("revision $revision is in force everywhere", ::logs) {
            live.all { daemon ->
                daemon.status().documents.any { it.team == team && it.revision >= revision }
            }
        }
        return revision
    }

    /** Returns the job once [daemon] shows it in the [state]. */
    fun awaitJob(daemon: EntryHostProcess, name: String, state: String): JobView =
        eventually("job $name is $state", { "${daemon.jobs()}\n${logs()}" }) {
            daemon.job(name)?.takeIf { it.state == state }
        }

    /** Returns the last lines of all daemons. */
    fun logs(): String = daemons.joinToString("\n") { daemon ->
        "--- ${daemon.name}\n" + daemon.process.output().takeLast(LOG_LINES).joinToString("\n")
    }

    override fun close() {
        daemons.forEach { it.close() }
        links.values.forEach { it.close() }
        platform.close()
    }

    private fun knowsAll(daemon: EntryHostProcess) =
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

/** What a link does to the answers of the platform. */
internal enum class LinkFault { CUT_ONE_WAY, SLOW, RESET }

/** The proxies between one availability zone and the platform. */
internal class PlatformLink(platform: Platform) : AutoCloseable {
    private val reactor = NioReactor()
    private val keyValue = proxy(platform.keyValue.address)
    private val hostList = proxy(platform.hostList.address)
    val keyValueAddress = "127.0.0.1:${keyValue.bindAddress.port}"
    val hostListAddress = "127.0.0.1:${hostList.bindAddress.port}"

    /** What befalls the link, until it is set to null. */
    @Volatile
    var fault: LinkFault? = null

    /** How many answers' parts [fault] struck. */
    val struck = AtomicInteger()

    /** Cuts the zone off from the platform: connections are closed and refused. */
    fun cut() {
        keyValue.close()
        hostList.close()
    }

    /** Mends what [cut] did. */
    fun mend() {
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
        .withIncomingTransformFilterFactory { TransformFilter(::strike) }
        .buildAndOpen()

    private fun strike(bytes: ByteBuffer) {
        val kind = fault ?: return
        struck.incrementAndGet()
        when (kind) {
            LinkFault.CUT_ONE_WAY -> bytes.position(bytes.limit())
            LinkFault.SLOW -> Thread.sleep(SLOW_MILLIS)
            LinkFault.RESET -> throw IOException("reset by the test")
        }
    }

    /** The proxy does not tell which port it was given, so it has to be named one. */
    private fun freePort() = ServerSocket(0).use { it.localPort }

    private companion object {
        const val SLOW_MILLIS = 50L
    }
}
