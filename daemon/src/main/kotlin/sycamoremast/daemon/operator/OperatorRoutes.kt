/** The operators' HTTP API, which maps [OperatorActions] to JSON bodies and status codes. */
package sycamoremast.daemon.operator

import arrow.core.Either
import arrow.core.right
import java.io.IOException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.http4k.core.Method.GET
import org.http4k.core.Method.POST
import org.http4k.core.Method.PUT
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
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

/** The path of the operators' API that lists problems. */
const val PROBLEMS_PATH = "/v1/problems"
private const val DEFAULT_CONFIRMATION_MILLIS = 10_000L
private const val MAX_CONFIRMATION_MILLIS = 60_000L
private const val DEFAULT_AUDIT_LIMIT = 100
private const val MAX_AUDIT_LIMIT = 10_000
private const val MAX_CONFIGURATION_BYTES = 900_000
private const val OPERATOR_HEADER = "X-Operator"
private const val DEFAULT_OPERATOR = "unnamed"

private val json = Json { encodeDefaults = true }

/** Returns the handler of the operators' API, which calls [actions]. */
internal fun operatorRoutes(actions: OperatorActions): RoutingHttpHandler = routes(
    "/v1/status" bind GET to { reply(StatusView.serializer(), actions.status()) },
    "/v1/teams/{team}/configuration" bind GET to { document(actions, it) },
    "/v1/teams/{team}/configuration" bind PUT to { submit(actions, it) },
    "/v1/teams/{team}/confirmations" bind GET to { confirmations(actions, it) },
    "/v1/jobs" bind GET to { jobs(actions, it) },
    "/v1/jobs/{team}/{job}/cancel" bind POST to { cancel(actions, it) },
    "/v1/drain" bind POST to { drain(actions, it) },
    PROBLEMS_PATH bind GET to { replyProblems(actions.problems().right()) },
    "/v1/audit" bind GET to { audit(actions, it) }
)

/** Returns the part of the operators' API that lists [problems]. */
fun problemRoutes(problems: () -> Either<ErrorView, List<ProblemView>>): RoutingHttpHandler =
    routes(PROBLEMS_PATH bind GET to { replyProblems(problems()) })

private fun replyProblems(problems: Either<ErrorView, List<ProblemView>>): Response =
    replyEither(ListSerializer(ProblemView.serializer()), problems)

private fun document(actions: OperatorActions, request: Request): Response {
    val team = request.path("team").orEmpty()
    val document = actions.document(team) ?: return teamNotFound("read configuration", team)
    return reply(DocumentView.serializer(), document)
}

private fun submit(actions: OperatorActions, request: Request): Response {
    val from = request.query("from")?.toLongOrNull()
        ?: return badRequest("submit", "query parameter 'from' must be a revision")
    val text = try {
        readBounded(request)
    } catch (e: IOException) {
        return badRequest("submit", "the configuration was cut short: ${e.message}")
    }
    if (text == null) {
        return badRequest("submit", "larger than $MAX_CONFIGURATION_BYTES bytes")
    }
    val result = actions.submit(request.path("team").orEmpty(), from, text, operatorName(request))
    return when (result) {
        is SubmissionResult.Accepted -> reply(SubmitView.serializer(), result.view)
        is SubmissionResult.LostRace ->
            reply(DocumentView.serializer(), result.current, Status.CONFLICT)
        is SubmissionResult.Invalid ->
            reply(InvalidView.serializer(), result.view, Status.UNPROCESSABLE_ENTITY)
        is SubmissionResult.Failed -> replyError(result.error)
    }
}

private fun readBounded(request: Request): String? {
    val bytes = request.body.stream.use { it.readNBytes(MAX_CONFIGURATION_BYTES + 1) }
    if (bytes.size > MAX_CONFIGURATION_BYTES) return null
    return bytes.toString(Charsets.UTF_8)
}

private fun confirmations(actions: OperatorActions, request: Request): Response {
    val revision = request.query("revision")?.toLongOrNull()
        ?: return badRequest("confirm", "query parameter 'revision' must be a revision")
    val timeout = request.query("timeoutMillis")?.toLongOrNull() ?: DEFAULT_CONFIRMATION_MILLIS
    val bounded = timeout.coerceIn(0, MAX_CONFIRMATION_MILLIS)
    val view = actions.confirmations(request.path("team").orEmpty(), revision, bounded)
    return reply(ConfirmationView.serializer(), view)
}

private fun jobs(actions: OperatorActions, request: Request): Response =
    replyEither(ListSerializer(JobView.serializer()), actions.jobs(request.query("team")))

private fun cancel(actions: OperatorActions, request: Request): Response {
    val team = request.path("team").orEmpty()
    val job = request.path("job").orEmpty()
    return replyEither(JobView.serializer(), actions.cancel(team, job, operatorName(request)))
}

private fun drain(actions: OperatorActions, request: Request): Response =
    reply(DrainView.serializer(), actions.drain(operatorName(request)), Status.ACCEPTED)

private fun audit(actions: OperatorActions, request: Request): Response {
    val limit = request.query("limit")?.toIntOrNull() ?: DEFAULT_AUDIT_LIMIT
    val changes = actions.audit(limit.coerceIn(1, MAX_AUDIT_LIMIT))
    return replyEither(ListSerializer(AuditView.serializer()), changes)
}

private fun operatorName(request: Request): String =
    request.header(OPERATOR_HEADER)?.takeIf { it.isNotBlank() } ?: DEFAULT_OPERATOR

private fun <T> replyEither(serializer: SerializationStrategy<T>, result: Either<ErrorView, T>) =
    result.fold(::replyError) { reply(serializer, it) }

private fun <T> reply(serializer: SerializationStrategy<T>, value: T, status: Status = Status.OK) =
    Response(status)
        .header("Content-Type", "application/json")
        .body(json.encodeToString(serializer, value))

private fun replyError(error: ErrorView): Response {
    val status = when {
        error.outcomeUnknown -> Status.GATEWAY_TIMEOUT
        error.retryAfterMillis != null -> Status.SERVICE_UNAVAILABLE
        else -> Status.NOT_FOUND
    }
    return reply(ErrorView.serializer(), error, status)
}

private fun teamNotFound(step: String, what: String): Response =
    replyError(ErrorView(step = step, peer = "this host", reason = "no such team: $what"))

private fun badRequest(step: String, reason: String): Response =
    reply(ErrorView.serializer(), ErrorView(step, "caller", reason), Status.BAD_REQUEST)
