/**
 * Assembles, starts and stops the daemon of an entry host.
 *
 * Parts start in the order of their dependencies: the peer network, membership and configuration
 * first, then the request path and the batch scheduler, and the servers for callers and operators
 * last. A graceful shutdown drains requests, then stops the batch scheduler, the request path and
 * the control plane, and the server for operators last.
 */
package sycamoremast.daemon

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds
import org.http4k.core.HttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import org.tinylog.kotlin.Logger
import sycamoremast.configuration.Endpoint
import sycamoremast.coordination.store.BudgetedStore
import sycamoremast.coordination.store.CallBudget
import sycamoremast.daemon.batch.BatchPorts
import sycamoremast.daemon.batch.BatchScheduler
import sycamoremast.daemon.batch.BatchSettings
import sycamoremast.daemon.batch.batchScheduler
import sycamoremast.daemon.http.BoundHttpServer
import sycamoremast.daemon.log.event
import sycamoremast.daemon.operator.DaemonOperatorActions
import sycamoremast.daemon.operator.healthRoutes
import sycamoremast.daemon.operator.operatorRoutes
import sycamoremast.daemon.request.RequestPath
import sycamoremast.daemon.request.RequestPathPorts
import sycamoremast.daemon.request.RequestPathSettings
import sycamoremast.daemon.request.RequestServer
import sycamoremast.daemon.request.requestPath
import sycamoremast.daemon.settings.DaemonSettings

/** A running daemon, which operators can ask to drain. */
class EntryHost private constructor(
    private val settings: DaemonSettings,
    private val registry: PrometheusMeterRegistry,
    private val platform: PlatformAdapters,
    private val control: ControlPlane
) {
    private val requests: RequestPath = requestPath(requestPorts(), requestSettings())
    private val batch: BatchScheduler = batchScheduler(batchPorts(), batchSettings())
    private val isDraining = AtomicBoolean()
    private val isStopped = AtomicBoolean()
    private val drainRequested = CountDownLatch(1)
    private val operatorActions =
        DaemonOperatorActions(control, batch, requests, ::notReadyBecause, ::beginDrain)
    private val requestServer = requestHandler().asServer(requestServerConfig())
    private val operatorServer = operatorHandler().asServer(operatorServerConfig())

    private fun start() {
        requests.start()
        batch.start()
        requestServer.start()
        operatorServer.start()
        logListening("peers", control.peerAddress)
        logListening("requests", addressOf(requestServer, settings.listen.requests))
        logListening("operators", addressOf(operatorServer, settings.listen.operators))
    }

    /** Blocks until this daemon begins to drain, on an operator's request or by [stop]. */
    fun awaitDrainRequest() = drainRequested.await()

    /**
     * Shuts down gracefully: reports not ready, waits for requests in progress, hands over shards,
     * ends the host's registration and stops the servers. Further calls have no effect.
     */
    fun stop() {
        if (!isStopped.compareAndSet(false, true)) return
        beginDrain()
        val isIdle = requests.awaitIdle(settings.shutdown.graceMillis.milliseconds)
        if (!isIdle) {
            val unfinished = requests.inProgress()
            Logger.warn { event("grace-over", "step" to "drain", "requestsCutOff" to unfinished) }
        }
        batch.stop()
        requestServer.stop()
        requests.close()
        control.close()
        operatorServer.stop()
        Logger.info { event("stopped", "host" to settings.host.name) }
    }

    private fun beginDrain() {
        if (!isDraining.compareAndSet(false, true)) return
        Logger.info { event("draining", "host" to settings.host.name) }
        requests.beginDrain()
        drainRequested.countDown()
    }

    private fun notReadyBecause(): List<String> {
        val drain = if (isDraining.get()) listOf(DaemonOperatorActions.DRAINING) else emptyList()
        return drain + control.notReadyBecause() + requests.notReadyBecause()
    }

    private fun requestHandler(): HttpHandler = routes(
        healthRoutes(registry, ::notReadyBecause),
        "/{path:.*}" bind requests.handler
    )

    private fun operatorHandler(): HttpHandler = routes(
        operatorRoutes(operatorActions),
        healthRoutes(registry, ::notReadyBecause)
    )

    private fun requestServerConfig(): RequestServer {
        val listen = settings.listen.requests
        return RequestServer(listen.ip, listen.port)
    }

    private fun operatorServerConfig(): BoundHttpServer {
        val listen = settings.listen.operators
        return BoundHttpServer(
            address = InetSocketAddress(listen.ip, listen.port),
            workerThreads = OPERATOR_THREADS,
            maxBodyBytes = MAX_OPERATOR_BODY_BYTES
        )
    }

    private fun requestPorts() = RequestPathPorts(
        configuration = control.replica,
        membership = control.membership,
        peers = control.network,
        store = control.store,
        hostList = platform.hostList,
        problems = control.problems,
        meters = registry,
        storeCalls = control.callBudget
    )

    private fun requestSettings() = RequestPathSettings(
        maxBodyBytes = settings.requests.maxBodyBytes.toLong(),
        queueLimit = settings.requests.queueLimit,
        defaultDeadlineMillis = settings.requests.defaultDeadlineMillis,
        hostListRefreshMillis = settings.hostList.refreshMillis
    )

    private fun batchPorts() = BatchPorts(
        configuration = control.replica,
        membership = control.membership,
        peers = control.network,
        store = BudgetedStore(control.store, control.callBudget),
        hosts = platform.hostList,
        worker = platform::worker,
        problems = control.problems,
        audit = control.audit,
        meters = registry
    )

    private fun batchSettings() = BatchSettings(
        shards = settings.batch.shards,
        workerLeaseMillis = settings.batch.workerLeaseMillis,
        heartbeatMillis = settings.batch.heartbeatMillis,
        ownerLeaseMillis = settings.keyValue.leaseMillis
    )

    private fun logListening(kind: String, address: String) =
        Logger.info { event("listening", "kind" to kind, "address" to address) }

    private fun addressOf(server: Http4kServer, listen: Endpoint) =
        listen.copy(port = server.port()).toString()

    companion object {
        private const val STORE_CALLS_PER_SECOND = 100.0
        private const val STORE_CALL_BURST = 200
        private const val OPERATOR_THREADS = 16
        private const val MAX_OPERATOR_BODY_BYTES = 1_000_000L

        /**
         * Starts a daemon with these [settings] and returns it.
         *
         * @throws java.io.IOException if an address can't be bound
         */
        fun start(settings: DaemonSettings): EntryHost {
            val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
            val platform = PlatformAdapters.from(settings)
            val callBudget = CallBudget(STORE_CALLS_PER_SECOND, STORE_CALL_BURST)
            val control = ControlPlane.from(settings, platform.store, callBudget, registry)
            control.start()
            return EntryHost(settings, registry, platform, control).apply { start() }
        }
    }
}
