/** The request path that forwards requests to the backend servers on the platform's host list. */
package sycamoremast.daemon.request

import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestFailure
import sycamoremast.coordination.request.RequestLifecycle
import sycamoremast.coordination.request.RequestOutcome
import sycamoremast.coordination.request.RequestState
import sycamoremast.daemon.log.event

/** Forwards requests to the backend servers on the platform's host list. */
internal class ForwardingRequestPath(
    private val ports: RequestPathPorts,
    private val settings: RequestPathSettings
) : RequestPath {
    private sealed interface Phase {
        data object Serving : Phase

        /** The host is draining; new requests are still accepted until [graceEndsMillis]. */
        data class Draining(val graceEndsMillis: Double) : Phase

        data object Closed : Phase
    }

    private val meters = RequestMeters(ports.meters)
    private val reader = CallerRequestReader(ports.configuration, settings)
    private val dispatcher = Dispatcher(ports.membership, settings)
    private val runner = RequestRunner(dispatcher, meters)
    private val slotLending = SlotLending(dispatcher, ports.peers)
    private val claims = ClaimLedger(ports.store, ports.storeCalls, ports.membership)
    private val keyed = KeyedRequests(claims, runner)
    private val unknownOutcomes = UnknownOutcomes(ports.problems, dispatcher::nowMillis)
    private val inProgress = InProgressCounter()
    private val phase = AtomicReference<Phase>(Phase.Serving)
    private val hostListLoop = Loop("host-list") {
        refreshHostList()
        settings.hostListRefreshMillis
    }
    private val dispatchLoop = Loop("dispatch") {
        dispatcher.tick()
        unknownOutcomes.tick()
        if (dispatcher.isAnyWaiting()) TICK_MILLIS else IDLE_TICK_MILLIS
    }

    override val handler: HttpHandler = ::handle

    override fun start() {
        meters.registerInProgressGauge(inProgress::count)
        dispatcher.tick()
        dispatcher.onWaiting {
            dispatchLoop.wake()
            slotLending.wake()
        }
        hostListLoop.start()
        dispatchLoop.start()
        slotLending.start()
    }

    override fun notReadyBecause(): List<String> = listOfNotNull(
        "this host has no share of the backend servers yet".takeUnless { dispatcher.hasShare() }
    )

    override fun beginDrain() {
        val endMillis = dispatcher.nowMillis() + settings.drainGraceMillis
        phase.compareAndSet(Phase.Serving, Phase.Draining(endMillis))
    }

    override fun awaitIdle(timeout: Duration): Boolean {
        val startMillis = dispatcher.nowMillis()
        val graceMillis =
            (phase.get() as? Phase.Draining)?.let { it.graceEndsMillis - startMillis } ?: 0.0
        val waitMillis = graceMillis.coerceIn(0.0, timeout.inWholeMilliseconds.toDouble())
        TimeUnit.MILLISECONDS.sleep(waitMillis.toLong())
        val endMillis = startMillis + timeout.inWholeMilliseconds
        return inProgress.awaitZero((endMillis - dispatcher.nowMillis()).milliseconds) &&
            claims.awaitRecorded((endMillis - dispatcher.nowMillis()).milliseconds)
    }

    override fun inProgress() = inProgress.count()

    override fun close() {
        phase.set(Phase.Closed)
        hostListLoop.close()
        dispatchLoop.close()
        slotLending.close()
        claims.close()
        dispatcher.close()
    }

    /** Returns the number of backend servers of [service] that get new requests. */
    internal fun backendCount(service: String) = dispatcher.usableBackendCount(service)

    /** Returns the number of requests of [service] that waitMillis for a slot. */
    internal fun waitingCount(service: String) = dispatcher.waitingCount(service)

    private fun refreshHostList() = ports.hostList.hosts().fold(
        { Logger.warn { event("host-list-unread", "step" to it.step, "peer" to it.peer) } },
        dispatcher::updateHosts
    )

    private fun handle(http: Request): Response {
        inProgress.begin()
        val response = try {
            reader.read(http).fold(
                { outcomeResponse(http.header(RequestHeaders.REQUEST_ID), it) },
                { run(it) }
            )
        } catch (e: Exception) {
            Logger.error(e) { event("request-failed", "step" to "handle") }
            val failure = RequestFailure(RequestState.UNKNOWN, "self", "internal error")
            outcomeResponse(http.header(RequestHeaders.REQUEST_ID), RequestOutcome.Unknown(failure))
        }
        return inProgress.endOnClose(addConnectionClose(response))
    }

    private fun run(request: CallerRequest): Response {
        val receivedMillis = dispatcher.nowMillis()
        val lifecycle = RequestLifecycle()
        if (isRefusingRequests()) return respondWithOutcome(request, refuseWhileStopping(lifecycle))
        val body = try {
            CallerBody.of(request.http, settings.maxBodyBytes).also { checkSendable(request, it) }
        } catch (e: CallerException) {
            lifecycle.on(RequestEvent.REJECT)
            return respondWithOutcome(
                request,
                RequestOutcome.Malformed(e.status, e.message.orEmpty())
            )
        }
        val key = request.idempotencyKey.takeUnless { request.isIdempotent }
            ?: return respond(request, runner.run(request, body, lifecycle, receivedMillis))
        return when (val result = keyed.run(request, key, body, lifecycle, receivedMillis)) {
            is KeyedResult.Ran -> respond(request, result.result)
            is KeyedResult.Replayed -> recordOutcome(request, result.response)
        }
    }

    private fun respond(request: CallerRequest, result: RunResult): Response = when (result) {
        is RunResult.Answered -> forwardedResponse(request, result.response) { isComplete ->
            result.onEnd(isComplete)
            meters.countOutcome(request.service, if (isComplete) "answered" else "cut")
        }

        is RunResult.Ended -> respondWithOutcome(request, result.outcome)
    }

    private fun respondWithOutcome(request: CallerRequest, outcome: RequestOutcome): Response {
        if (outcome is RequestOutcome.Unknown && !request.isIdempotent) {
            unknownOutcomes.record(request, outcome.failure)
        }
        return recordOutcome(request, outcomeResponse(request.id, outcome))
    }

    private fun recordOutcome(request: CallerRequest, response: Response): Response {
        meters.countOutcome(request.service, response.header(RequestHeaders.OUTCOME).orEmpty())
        return response
    }

    private fun refuseWhileStopping(lifecycle: RequestLifecycle): RequestOutcome {
        val failure = RequestFailure(lifecycle.state, "self", "this host is leaving")
        lifecycle.on(RequestEvent.FAIL)
        return RequestOutcome.NotRun(failure, Duration.ZERO)
    }

    private fun isRefusingRequests() = when (val now = phase.get()) {
        is Phase.Serving -> false
        is Phase.Draining -> dispatcher.nowMillis() > now.graceEndsMillis
        is Phase.Closed -> true
    }

    /** Adds `Connection: close` once this host is draining, so that callers leave it. */
    private fun addConnectionClose(response: Response) =
        if (phase.get() is Phase.Serving) response else response.header("Connection", "close")

    private companion object {
        const val TICK_MILLIS = 10L
        const val IDLE_TICK_MILLIS = 100L
    }
}
