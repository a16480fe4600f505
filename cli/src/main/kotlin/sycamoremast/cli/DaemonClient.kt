/**
 * A client of the daemons' HTTP API for operators.
 *
 * Daemons are tried in the order given on the command line. The next one is tried only if the
 * call is a read, or certainly had no effect on the previous one.
 */
package sycamoremast.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri
import sycamoremast.configuration.Endpoint
import sycamoremast.configuration.operator.AuditView
import sycamoremast.configuration.operator.ConfirmationView
import sycamoremast.configuration.operator.DocumentView
import sycamoremast.configuration.operator.DrainView
import sycamoremast.configuration.operator.ErrorView
import sycamoremast.configuration.operator.InvalidView
import sycamoremast.configuration.operator.JobView
import sycamoremast.configuration.operator.ProblemView
import sycamoremast.configuration.operator.StatusView
import sycamoremast.configuration.operator.SubmitView

/** The time that a daemon waits at most for confirmations in one call. */
private val MAX_CONFIRMATION_WAIT = 60.seconds

/** Calls [daemons] on behalf of [operator]; [http] returns an HTTP client with a call timeout. */
internal class DaemonClient(
    private val daemons: List<Endpoint>,
    private val operator: String,
    private val http: (Duration) -> HttpHandler
) {
    fun status(): Either<CallError, StatusView> =
        read("status", "/v1/status", StatusView.serializer())

    /** Returns the accepted configuration of [team], or null if it has none. */
    fun document(team: String): Either<CallError, DocumentView?> =
        when (val read = read("read", "/v1/teams/$team/configuration", DocumentView.serializer())) {
            is Either.Left -> if (read.value is CallError.NotFound) null.right() else read
            is Either.Right -> read
        }

    fun submit(team: String, text: String, from: Long): Either<CallError, SubmitView> {
        val request = Request(Method.PUT, "/v1/teams/$team/configuration")
            .query("from", "$from")
            .body(text)
        return change("submit", request, SubmitView.serializer())
    }

    /** Returns where [revision] is in force, once on every live host or after [timeout]. */
    fun confirmations(
        team: String,
        revision: Long,
        timeout: Duration
    ): Either<CallError, ConfirmationView> {
        var remaining = timeout
        while (true) {
            val step = minOf(remaining, MAX_CONFIRMATION_WAIT)
            val result = requestConfirmations(team, revision, step)
            remaining -= step
            val isDone = result.fold({ true }, { it.unconfirmed.isEmpty() })
            if (isDone || remaining <= Duration.ZERO) return result
        }
    }

    private fun requestConfirmations(
        team: String,
        revision: Long,
        timeout: Duration
    ): Either<CallError, ConfirmationView> {
        val query = "revision=$revision&timeoutMillis=${timeout.inWholeMilliseconds}"
        val path = "/v1/teams/$team/confirmations?$query"
        return read("confirm", path, ConfirmationView.serializer(), timeout + CALL_TIMEOUT)
    }

    fun jobs(team: String?): Either<CallError, List<JobView>> {
        val path = if (team == null) "/v1/jobs" else "/v1/jobs?team=$team"
        return read("jobs", path, ListSerializer(JobView.serializer()))
    }

    fun cancel(team: String, job: String): Either<CallError, JobView> {
        val request = Request(Method.POST, "/v1/jobs/$team/$job/cancel")
        return change("cancel", request, JobView.serializer())
    }

    fun drain(): Either<CallError, DrainView> =
        change("drain", Request(Method.POST, "/v1/drain"), DrainView.serializer())

    fun problems(): Either<CallError, List<ProblemView>> =
        read("problems", "/v1/problems", ListSerializer(ProblemView.serializer()))

    fun audit(limit: Int): Either<CallError, List<AuditView>> =
        read("audit", "/v1/audit?limit=$limit", ListSerializer(AuditView.serializer()))

    private fun <T> read(
        step: String,
        path: String,
        type: KSerializer<T>,
        timeout: Duration = CALL_TIMEOUT
    ): Either<CallError, T> = withFailover { daemon ->
        val call = Call(step, daemon, Request(Method.GET, path), timeout)
        exchange(call, type)
    }

    private fun <T> change(
        step: String,
        request: Request,
        type: KSerializer<T>
    ): Either<CallError, T> = withFailover { daemon ->
        val call = Call(step, daemon, request.header(OPERATOR_HEADER, operator), CALL_TIMEOUT)
        exchange(call, type)
    }

    /** Returns the first success; fails over to the next daemon only where that is safe. */
    private fun <T> withFailover(call: (Endpoint) -> Either<CallError, T>): Either<CallError, T> {
        val errors = mutableListOf<CallError>()
        for (daemon in daemons) {
            val result = call(daemon)
            val error = result.leftOrNull() ?: return result
            errors += error
            if (!error.allowsFailover) return result
        }
        val notReached = errors.filterIsInstance<CallError.NotReached>()
        if (notReached.size < errors.size) return errors.first { it !in notReached }.left()
        return notReached.reduce { all, next -> all.merge(next) }.left()
    }

    private fun <T> exchange(call: Call, type: KSerializer<T>): Either<CallError, T> = try {
        val uri = Uri.of("http://${call.daemon}${call.request.uri}")
        interpret(call, http(call.timeout)(call.request.uri(uri)), type)
    } catch (e: ExchangeException) {
        call.toError(e).left()
    }

    private fun <T> interpret(
        call: Call,
        response: Response,
        type: KSerializer<T>
    ): Either<CallError, T> {
        val text = response.bodyString()
        return try {
            if (response.status.successful) return JSON.decodeFromString(type, text).right()
            call.toError(response.status, text).left()
        } catch (_: SerializationException) {
            call.malformedResponse(response.status).left()
        }
    }

    companion object {
        private const val OPERATOR_HEADER = "X-Operator"
    }
}

/** One HTTP call to [daemon]; [step] names it in error messages. */
private data class Call(
    val step: String,
    val daemon: Endpoint,
    val request: Request,
    val timeout: Duration
) {
    private val isRead = request.method == Method.GET
    private val peer = daemon.toString()

    fun toError(e: ExchangeException): CallError = when {
        !e.connected -> CallError.NotReached("connect", peer, e.reason)
        isRead -> CallError.NotReached(step, peer, e.reason)
        else -> CallError.OutcomeUnknown(step, peer, e.reason)
    }

    fun toError(status: Status, text: String): CallError = when (status) {
        Status.CONFLICT -> CallError.LostRace(JSON.decodeFromString(text))
        Status.UNPROCESSABLE_ENTITY ->
            CallError.Invalid(JSON.decodeFromString<InvalidView>(text).errors)
        Status.NOT_FOUND -> CallError.NotFound(JSON.decodeFromString(text))
        else -> refused(status, JSON.decodeFromString(text))
    }

    private fun refused(status: Status, error: ErrorView) = if (error.outcomeUnknown) {
        CallError.OutcomeUnknown(error.step, error.peer, error.reason)
    } else {
        CallError.Refused(error, status == Status.SERVICE_UNAVAILABLE)
    }

    fun malformedResponse(status: Status): CallError {
        val reason = "the answer ${status.code} could not be read"
        if (isRead || !status.successful) {
            return CallError.Refused(ErrorView(step, peer, reason), false)
        }
        return CallError.OutcomeUnknown(step, peer, reason)
    }
}
