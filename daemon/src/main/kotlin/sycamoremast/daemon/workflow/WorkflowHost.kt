/** The parts of an entry host that schedules workflows: gateway, routing, election, scheduler. */
package sycamoremast.daemon.workflow

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import sycamoremast.configuration.Endpoint
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.HostProcess
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.StandbyReport
import sycamoremast.daemon.log.EventLog

/** The ports through which a host uses its platform. */
data class WorkflowPorts(
    val store: TransactionalStore,
    val runs: RunPort,
    val catalog: PlatformCatalog
)

/**
 * What peers need to know of a host: its zone, listening address and strength in [cores].
 *
 * Other hosts connect to [advertised].
 */
data class WorkflowPeers(
    val availabilityZone: String,
    val address: Endpoint,
    val cores: Double,
    val advertised: Endpoint = address
)

/** The host [name], which takes part in the election of the owner of worker set [set]. */
class WorkflowHost(
    private val name: String,
    private val ports: WorkflowPorts,
    settings: SchedulerSettings,
    private val log: EventLog,
    private val meters: WorkflowMeters,
    peers: WorkflowPeers? = null,
    set: Int = 0,
    maxTasksPerWorkflow: Long = WorkflowSettings.DEFAULT_MAX_TASKS_PER_WORKFLOW,
    clock: MonotonicClock = MonotonicClock.system()
) {
    private val store = MonitoredStore(ports.store, clock, meters)
    private val routing = RoutingReplica(ports.catalog, log, ::onNewRouting)
    private val process = HostProcess.of(name, newProcessId())
    private val peering = peers?.let { Peering(process, it, store, ports.runs, log, meters, clock) }
    private val ownership = Ownership(
        store,
        ports.catalog,
        ports.runs,
        set,
        settings,
        clock,
        log,
        meters,
        peering?.relays ?: Relays.None,
        peering?.standbys ?: StandbyLinks.None
    ) { routing.table }
    private val election = Election(store, name, set, clock, log, ownership, process) {
        peering?.hasStrongerHost == true
    }
    private val routingFollower = PrefixFollower(store, ports.catalog.routingKey, log, routing)

    /** Serves callers' requests. */
    val gateway = Gateway(
        store,
        name,
        set,
        log,
        meters,
        maxTasksPerWorkflow,
        settings.statusMillis,
        clock,
        { store.isUnavailable }
    ) { ownership.loop }

    /** Reports workflows that were given up, for operators. */
    val problems = WorkflowProblems(store, set, log) { store.isUnavailable }

    /** The active routes, or null until a configuration has been read. */
    val routes: RoutingTable? get() = routing.table

    /** Whether this host can serve callers: the configuration is known and the store answers. */
    val isReady: Boolean
        get() = routing.table != null && store.silenceMillis < MAX_READY_SILENCE_MILLIS

    init {
        ownership.onDeposed = election::depose
        ownership.keepTerm = election::keepTerm
        ownership.leaseState = { election.leaseState }
        election.confirmedMillis = { ownership.loop?.confirmedMillis }
        peering?.standbys?.let(::connectStandbys)
        peering?.dispatch = { ownership.dispatch }
        peering?.onStrongerHost = { election.depose(Ownership.STRONGER_HOST) }
        meters.registerGauge("sycamore.owner") { if (ownership.loop == null) 0 else 1 }
        meters.registerGauge("sycamore.store.silence.millis") { store.silenceMillis }
        meters.registerGauge("sycamore.configuration.version") { routing.table?.version ?: 0 }
    }

    /** Starts to follow the configuration, to take part in the election and to connect to peers. */
    fun start() {
        log.add("host-start", "host" to name)
        routingFollower.start()
        election.start()
        peering?.start()
    }

    /**
     * Hands ownership over to another host; the gateway keeps serving until the process ends.
     *
     * In an outage of the store, goes on as the owner until the outage ends, or for [limitMillis].
     */
    fun handOver(limitMillis: Long) {
        log.add("host-hand-over", "host" to name, "limitMillis" to limitMillis)
        election.close(limitMillis)
        peering?.leave(election.lastOwner?.host) { election.lastEpoch }
    }

    /** Stops following the configuration and closes the connections to peers. */
    fun stop() {
        routingFollower.close()
        peering?.close()
        log.add("host-stop", "host" to name)
    }

    private fun connectStandbys(standbys: StandbyPeers) {
        standbys.hasStore = { !store.isLost }
        standbys.acknowledge = election::acknowledgeHeartbeat
        standbys.report = { election.reportStandby(it.epoch, it.lastEpoch) }
        standbys.reportEndOrNull = { election.reportEndOrNull(it.epoch, it.lastEpoch) }
        standbys.onEnded = { process, lastEpoch ->
            ownership.loop?.updateSuccession { onStandbyEnded(process, lastEpoch) }
        }
        standbys.onAnswered = { process, answer ->
            ownership.loop?.updateSuccession {
                val report = StandbyReport(
                    answer.millisAgo,
                    answer.liftedLimits,
                    answer.isOwnerEnd,
                    answer.lastHeartbeat
                )
                onStandbyAnswered(process, answer.lastEpoch, report, it)
            }
        }
        standbys.onAcknowledged = { process, known ->
            ownership.loop?.takeIf { it.epoch == known.epoch }?.updateSuccession {
                onHeartbeatAcknowledged(process, known.number, known.recordsLimits, it)
            }
        }
    }

    private fun onNewRouting(table: RoutingTable) {
        ownership.loop?.updateRouting(table)
    }

    companion object {
        /** The longest time that a watch of the store may wait for a change. */
        val MAX_WATCH_WAIT = 5_000.milliseconds

        /**
         * Other hosts may still reach the store; the load balancer takes another two seconds to
         * stop sending requests here.
         */
        private const val MAX_READY_SILENCE_MILLIS = 1_000L
        private const val RADIX = 36

        /** Returns an ID that differs from those of earlier processes of this host. */
        private fun newProcessId(): String = System.currentTimeMillis().toString(RADIX) +
            Random.nextInt(RADIX * RADIX).toString(RADIX)
    }
}
