/** The request path that forwards to the backend servers on the platform's list. */
package sycamoremast.daemon.request

import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestFailure
import sycamoremast.coordination.request.RequestLife
import sycamoremast.coordination.request.RequestOutcome
import sycamoremast.coordination.request.RequestState
import sycamoremast.daemon.request.AttemptResult.Failed

internal class ForwardingRequestPath(
    private val ports: RequestPathPorts,
    private val settings: RequestPathSettings
) : RequestPath {
    private enum class Phase { SERVING, DRAINING, CLOSED }

    private val reader = CallerRequestReader(ports.configuration, settings)
    private val backends =
        BackendDirectory(ports.hostList, settings, ports.membership.self.availabilityZone)
    private val inProgress = InProgress()
    private val phase = AtomicReference(Phase.SERVING)

    override val handler: HttpHandler = ::handle

    override fun start() = backends.start()

    override fun beginDrain() {
        phase.compareAndSet(Phase.SERVING, Phase.DRAINING)
    }

    override fun awaitIdle(timeout: Duration) = inProgress.awaitZero(timeout)

    override fun inProgress() = inProgress.count()

    override fun close() {
        phase.set(Phase.CLOSED)
        backends.close()
    }

    /** Returns the backend servers of [service] that get new work. */
    internal fun backendCount(service: String) = backends.count(service)

    private fun handle(http: Request): Response {
        inProgress.begin()
        val response = try {
            reader.read(http).fold(
                { refusal(http.header(RequestHeaders.REQUEST_ID), it) },
                { run(it) }
            )
        } catch (e: RuntimeException) {
            Logger.error(e, "event=request-failed step=handle")
            val failure = RequestFailure(RequestState.UNKNOWN, "self", "internal error")
            refusal(http.header(RequestHeaders.REQUEST_ID), RequestOutcome.Unknown(failure))
        }
        return inProgress.endWith(response)
    }

    private fun run(request: CallerRequest): Response {
        val life = RequestLife()
        val body = try {
            CallerBody.of(request.http, settings.maxBodyBytes)
        } catch (e: CallerException) {
            life.on(RequestEvent.REJECT)
            return refusal(request.id, RequestOutcome.Malformed(BAD_REQUEST, e.message.orEmpty()))
        }
        life.on(RequestEvent.QUEUE)
        if (phase.get() != Phase.SERVING) return end(request, life, "self", "the host is leaving")
        val backend = backends.acquire(request.service)
            ?: return end(request, life, "self", "no backend server of ${request.service} is free")
        return answer(request, life, backend, attempt(request, body, life, backend))
    }

    /** Sends on another connection where the one at hand turned out to be unfit beforehand. */
    private fun attempt(
        request: CallerRequest,
        body: CallerBody,
        life: RequestLife,
        backend: Backend
    ): AttemptResult {
        while (true) {
            life.on(RequestEvent.DISPATCH)
            val result = backend.client.send(request, body, life, request.deadline)
            if (result !is Failed || result.kind != FailureKind.STALE_CONNECTION) return result
            life.on(RequestEvent.RETRY)
        }
    }

    private fun answer(
        request: CallerRequest,
        life: RequestLife,
        backend: Backend,
        result: AttemptResult
    ): Response {
        if (result.isDraining) backends.leaving(backend)
        return when (result) {
            is AttemptResult.Answer -> relay(request, life, result) { backends.release(backend) }

            is AttemptResult.Refused -> {
                backends.release(backend)
                end(request, life, result.failure)
            }

            is Failed -> {
                backends.release(backend)
                end(request, life, result.failure)
            }
        }
    }

    private fun end(request: CallerRequest, life: RequestLife, peer: String, reason: String) =
        end(request, life, RequestFailure(life.state, peer, reason))

    private fun end(request: CallerRequest, life: RequestLife, failure: RequestFailure): Response {
        val outcome = when (life.on(RequestEvent.FAIL)) {
            RequestState.NOT_RUN -> RequestOutcome.NotRun(failure, RETRY_AFTER)
            else -> RequestOutcome.Unknown(failure)
        }
        return refusal(request.id, outcome)
    }

    private companion object {
        const val BAD_REQUEST = 400
        val RETRY_AFTER = 1.seconds
    }
}
