/** An entry host that schedules workflows: gateway, configuration, election and scheduler. */
package sycamoremast.daemon.workflow

import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.configuration.Endpoint
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.daemon.log.EventLog

/** The ports of a host towards its platform. */
data class WorkflowPorts(
    val store: TransactionalStore,
    val runs: RunPort,
    val catalog: PlatformCatalog
)

/** How a host speaks with the others: where it listens, and how strong it is in [cores]. */
data class WorkflowPeers(val availabilityZone: String, val address: Endpoint, val cores: Double)

/** The host [name], which stands for election as owner of worker set [set]. */
class WorkflowHost(
    private val name: String,
    private val ports: WorkflowPorts,
    settings: SchedulerSettings,
    private val log: EventLog,
    private val meters: WorkflowMeters,
    peers: WorkflowPeers? = null,
    set: Int = 0,
    clock: MonotonicClock = MonotonicClock.system()
) {
    private val store = MonitoredStore(ports.store, clock, meters)
    private val routing = RoutingReplica(ports.catalog, log, ::onRouting)
    private val peering = peers?.let { Peering(name, it, store, ports.runs, log, meters) }
    private val ownership = Ownership(
        store,
        ports.catalog,
        ports.runs,
        set,
        settings,
        clock,
        log,
        meters,
        peering?.relays ?: Relays.None
    ) { routing.table }
    private val election = Election(store, name, set, clock, log, ownership) {
        peering?.isStrongerKnown == true
    }
    private val routingFollower = PrefixFollower(store, ports.catalog.routingKey, log, routing)

    /** Serves callers. */
    val gateway = Gateway(store, name, set, log, meters, { store.isOut }) { ownership.loop }

    /** The routes in force, or null before any were seen. */
    val routes: RoutingTable? get() = routing.table

    /** Whether callers should come here: the configuration is known and the store answers. */
    val isReady: Boolean
        get() = routing.table != null && store.silentMillis < UNREADY_AFTER_SILENCE_MILLIS

    init {
        ownership.onDeposed = election::depose
        ownership.isSoleOwner = { election.isLeaseValid }
        peering?.dispatch = { ownership.dispatch }
        peering?.onStrongerHost = { election.depose(Ownership.STRONGER_HOST) }
        meters.gauge("sycamore.owner") { if (ownership.loop == null) 0 else 1 }
        meters.gauge("sycamore.store.silence.millis") { store.silentMillis }
        meters.gauge("sycamore.configuration.version") { routing.table?.version ?: 0 }
    }

    /** Starts to follow the configuration and to stand for election. */
    fun start() {
        log.add("host-start", "host" to name)
        routingFollower.start()
        election.start()
        peering?.start()
    }

    /** Gives ownership up; the gateway goes on until the process ends. */
    fun handOver() {
        log.add("host-hand-over", "host" to name)
        election.close()
    }

    /** Stops what still runs. */
    fun stop() {
        routingFollower.close()
        peering?.close()
        log.add("host-stop", "host" to name)
    }

    private fun onRouting(table: RoutingTable) {
        ownership.loop?.policies(table.queues)
    }

    companion object {
        /** How long a watch of the store may wait for a change. */
        val LONGEST_STORE_WAIT = 5_000.milliseconds

        /** Other hosts may still reach the store; the balancer takes two more seconds to turn away. */
        private const val UNREADY_AFTER_SILENCE_MILLIS = 1_000L
    }
}
