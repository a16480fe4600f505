/** The hosts of a census, and the ways in which they are lost. */
package sycamoremast.coordination.workflow

internal class CensusHosts(private val world: HostWorld) {
    private val time = world.time
    private var lastHost = 0
    private val hosts = MutableList(HOSTS) { newHost() }
    val all: List<ModelHost> get() = hosts.toList()
    val owner: ModelHost get() = hosts.first { it.term != null }

    /** One of the hosts that may succeed the owner. */
    val standby: ModelHost get() = hosts.first { it.term == null }

    fun findOrNull(name: String): ModelHost? = hosts.find { it.name == name }

    private fun newHost() = ModelHost("h${++lastHost}", world, PER_MILLE)

    /** Registers all hosts and starts each at one of [startMillis]. */
    fun begin(startMillis: () -> Long) {
        hosts.forEach { world.store.register(HostProcess.of(it.name, "1")) }
        world.store.onOwnerChanged = { hosts.forEach { it.onOwnerKey() } }
        hosts.forEach { host -> time.at(startMillis()) { host.start() } }
    }

    /** Kills [host], which starts again. */
    fun restart(host: ModelHost) {
        host.kill()
        startLater(host)
    }

    /** Stops [host] as planned, which starts again. */
    fun stop(host: ModelHost) = host.stop { startLater(host) }

    fun stopInTurn() = hosts.forEachIndexed { index, host ->
        time.at(time.now + (index + 1) * STOP_INTERVAL_MILLIS) { stop(host) }
    }

    /** Restarts the owner, and [SERIES_MILLIS] later the next one, three in all. */
    fun restartOwners() {
        restart(owner)
        for (i in 1..2) time.at(time.now + i * SERIES_MILLIS) { restart(owner) }
    }

    fun restartAll() = hosts.forEach(::restart)

    /** Kills all hosts, of which all but the owner's start again. */
    fun restartAllButOwner() {
        remove(owner)
        restartAll()
    }

    /** Kills [lost] for good; as many hosts come that were never registered. */
    fun replace(lost: List<ModelHost>) = lost.forEach {
        remove(it)
        val added = newHost()
        hosts += added
        startLater(added)
    }

    private fun remove(host: ModelHost) {
        host.kill()
        hosts -= host
    }

    private fun startLater(host: ModelHost) =
        time.at(time.now + RESTART_MILLIS) { if (!host.isUp) host.start() }

    companion object {
        /** How long after its loss a host starts again, or another one in its place. */
        const val RESTART_MILLIS = 1_500L
        private const val HOSTS = 6
        private const val PER_MILLE = 1_000L
        private const val SERIES_MILLIS = 4_000L
        private const val STOP_INTERVAL_MILLIS = 1_200L
    }
}
