/** The request path that forwards to the backend servers on the platform's list. */
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

internal class ForwardingRequestPath(
    private val ports: RequestPathPorts,
    private val settings: RequestPathSettings
) : RequestPath {
    private sealed interface Phase {
        data object Serving : Phase

        /** Requests are still taken until [graceEndsMillis]. */
        data class Draining(val graceEndsMillis: Double) : Phase

        data object Closed : Phase
    }

    private val meters = RequestMeters(ports.meters)
    private val reader = CallerRequestReader(ports.configuration, settings)
    private val dispatcher = Dispatcher(ports.membership, settings)
    private val runner = RequestRunner(dispatcher, meters)
    private val lending = SlotLending(dispatcher, ports.peers)
    private val claims = ClaimLedger(ports.store, ports.storeCalls, ports.membership)
    private val keyed = KeyedRequests(claims, runner)
    private val unknownOutcomes = UnknownOutcomes(ports.problems, dispatcher::nowMillis)
    private val inProgress = InProgress()
    private val phase = AtomicReference<Phase>(Phase.Serving)
    private val hostList = Loop("host-list") {
        readHostList()
        settings.hostListRefreshMillis
    }
    private val ticks = Loop("dispatch") {
        dispatcher.tick()
        unknownOutcomes.tick()
        if (dispatcher.isAnyWaiting()) TICK_MILLIS else IDLE_TICK_MILLIS
    }

    override val handler: HttpHandler = ::handle

    override fun start() {
        meters.watchInProgress(inProgress::count)
        dispatcher.tick()
        dispatcher.onWaiting {
            ticks.wake()
            lending.wake()
        }
        hostList.start()
        ticks.start()
        lending.start()
    }

    override fun notReadyBecause(): List<String> = listOfNotNull(
        "this host has no share of the backend servers yet".takeUnless { dispatcher.hasShare() }
    )

    override fun beginDrain() {
        val ends = dispatcher.nowMillis() + settings.drainGraceMillis
        phase.compareAndSet(Phase.Serving, Phase.Draining(ends))
    }

    override fun awaitIdle(timeout: Duration): Boolean {
        val began = dispatcher.nowMillis()
        val grace = (phase.get() as? Phase.Draining)?.let { it.graceEndsMillis - began } ?: 0.0
        val wait = grace.coerceIn(0.0, timeout.inWholeMilliseconds.toDouble())
        TimeUnit.MILLISECONDS.sleep(wait.toLong())
        val ends = began + timeout.inWholeMilliseconds
        return inProgress.awaitZero((ends - dispatcher.nowMillis()).milliseconds) &&
            claims.awaitRecorded((ends - dispatcher.nowMillis()).milliseconds)
    }

    override fun inProgress() = inProgress.count()

    override fun close() {
        phase.set(Phase.Closed)
        hostList.close()
        ticks.close()
        lending.close()
        claims.close()
        dispatcher.close()
    }

    /** Returns the backend servers of [service] that get new work. */
    internal fun backendCount(service: String) = dispatcher.usableCount(service)

    /** Returns the requests of [service] that wait for a slot. */
    internal fun waitingCount(service: String) = dispatcher.waitingCount(service)

    private fun readHostList() = ports.hostList.hosts().fold(
        { Logger.warn { event("host-list-unread", "step" to it.step, "peer" to it.peer) } },
        dispatcher::listed
    )

    private fun handle(http: Request): Response {
        inProgress.begin()
        val response = try {
            reader.read(http).fold(
                { refusal(http.header(RequestHeaders.REQUEST_ID), it) },
                { run(it) }
            )
        } catch (e: Exception) {
            Logger.error(e) { event("request-failed", "step" to "handle") }
            val failure = RequestFailure(RequestState.UNKNOWN, "self", "internal error")
            refusal(http.header(RequestHeaders.REQUEST_ID), RequestOutcome.Unknown(failure))
        }
        return inProgress.endWith(announced(response))
    }

    private fun run(request: CallerRequest): Response {
        val received = dispatcher.nowMillis()
        val life = RequestLifecycle()
        if (isRefusing()) return ended(request, leaving(life))
        val body = try {
            CallerBody.of(request.http, settings.maxBodyBytes).also { checkSendable(request, it) }
        } catch (e: CallerException) {
            life.on(RequestEvent.REJECT)
            return ended(request, RequestOutcome.Malformed(e.status, e.message.orEmpty()))
        }
        val key = request.idempotencyKey.takeUnless { request.isIdempotent }
            ?: return told(request, runner.run(request, body, life, received))
        return when (val result = keyed.run(request, key, body, life, received)) {
            is KeyedResult.Ran -> told(request, result.result)
            is KeyedResult.Replayed -> counted(request, result.response)
        }
    }

    private fun told(request: CallerRequest, result: RunResult): Response = when (result) {
        is RunResult.Answered -> relay(request, result.answer) { isWhole ->
            result.onEnd(isWhole)
            meters.ended(request.service, if (isWhole) "answered" else "cut")
        }

        is RunResult.Ended -> ended(request, result.outcome)
    }

    private fun ended(request: CallerRequest, outcome: RequestOutcome): Response {
        if (outcome is RequestOutcome.Unknown && !request.isIdempotent) {
            unknownOutcomes.seen(request, outcome.failure)
        }
        return counted(request, refusal(request.id, outcome))
    }

    private fun counted(request: CallerRequest, response: Response): Response {
        meters.ended(request.service, response.header(RequestHeaders.OUTCOME).orEmpty())
        return response
    }

    private fun leaving(life: RequestLifecycle): RequestOutcome {
        val failure = RequestFailure(life.state, "self", "this host is leaving")
        life.on(RequestEvent.FAIL)
        return RequestOutcome.NotRun(failure, Duration.ZERO)
    }

    private fun isRefusing() = when (val now = phase.get()) {
        is Phase.Serving -> false
        is Phase.Draining -> dispatcher.nowMillis() > now.graceEndsMillis
        is Phase.Closed -> true
    }

    /** Has callers leave their connections once this host is leaving. */
    private fun announced(response: Response) =
        if (phase.get() is Phase.Serving) response else response.header("Connection", "close")

    private companion object {
        const val TICK_MILLIS = 10L
        const val IDLE_TICK_MILLIS = 100L
    }
}
