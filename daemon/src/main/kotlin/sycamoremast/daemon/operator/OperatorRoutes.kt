/** The operators' HTTP API: JSON bodies and status codes around [OperatorActions]. */
package sycamoremast.daemon.operator

import arrow.core.Either
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

private const val DEFAULT_CONFIRMATION_MILLIS = 10_000L
private const val LONGEST_CONFIRMATION_MILLIS = 60_000L
private const val DEFAULT_AUDIT_LIMIT = 100
private const val LARGEST_AUDIT_LIMIT = 10_000
private const val LARGEST_CONFIGURATION_BYTES = 900_000
private const val OPERATOR_HEADER = "X-Operator"
private const val UNNAMED_OPERATOR = "unnamed"

private val json = Json { encodeDefaults = true }

/** Returns the handler of the operators' API on top of [actions]. */
internal fun operatorRoutes(actions: OperatorActions): RoutingHttpHandler = routes(
    "/v1/status" bind GET to { answer(StatusView.serializer(), actions.status()) },
    "/v1/teams/{team}/configuration" bind GET to { document(actions, it) },
    "/v1/teams/{team}/configuration" bind PUT to { submit(actions, it) },
    "/v1/teams/{team}/confirmations" bind GET to { confirmations(actions, it) },
    "/v1/jobs" bind GET to { jobs(actions, it) },
    "/v1/jobs/{team}/{job}/cancel" bind POST to { cancel(actions, it) },
    "/v1/drain" bind POST to { drain(actions, it) },
    "/v1/problems" bind GET to {
        answer(ListSerializer(ProblemView.serializer()), actions.problems())
    },
    "/v1/audit" bind GET to { audit(actions, it) }
)

private fun document(actions: OperatorActions, r: Request): Response {
    val team = r.path("team").orEmpty()
    val document = actions.document(team) ?: return notFound("read configuration", team)
    return answer(DocumentView.serializer(), document)
}

private fun submit(actions: OperatorActions, r: Request): Response {
    val from = r.query("from")?.toLongOrNull()
        ?: return badRequest("submit", "query parameter 'from' must be a revision")
    val text = try {
        readBounded(r)
    } catch (e: IOException) {
        return badRequest("submit", "the configuration was cut short: ${e.message}")
    }
    if (text == null) {
        return badRequest("submit", "larger than $LARGEST_CONFIGURATION_BYTES bytes")
    }
    val result = actions.submit(r.path("team").orEmpty(), from, text, operatorOf(r))
    return when (result) {
        is Submission.Accepted -> answer(SubmitView.serializer(), result.view)
        is Submission.LostRace ->
            answer(DocumentView.serializer(), result.current, Status.CONFLICT)
        is Submission.Invalid ->
            answer(InvalidView.serializer(), result.view, Status.UNPROCESSABLE_ENTITY)
        is Submission.Failed -> failed(result.error)
    }
}

private fun readBounded(r: Request): String? {
    val bytes = r.body.stream.use { it.readNBytes(LARGEST_CONFIGURATION_BYTES + 1) }
    if (bytes.size > LARGEST_CONFIGURATION_BYTES) return null
    return bytes.toString(Charsets.UTF_8)
}

private fun confirmations(actions: OperatorActions, r: Request): Response {
    val revision = r.query("revision")?.toLongOrNull()
        ?: return badRequest("confirm", "query parameter 'revision' must be a revision")
    val timeout = r.query("timeoutMillis")?.toLongOrNull() ?: DEFAULT_CONFIRMATION_MILLIS
    val bounded = timeout.coerceIn(0, LONGEST_CONFIRMATION_MILLIS)
    val view = actions.confirmations(r.path("team").orEmpty(), revision, bounded)
    return answer(ConfirmationView.serializer(), view)
}

private fun jobs(actions: OperatorActions, r: Request): Response =
    either(ListSerializer(JobView.serializer()), actions.jobs(r.query("team")))

private fun cancel(actions: OperatorActions, r: Request): Response {
    val team = r.path("team").orEmpty()
    val job = r.path("job").orEmpty()
    return either(JobView.serializer(), actions.cancel(team, job, operatorOf(r)))
}

private fun drain(actions: OperatorActions, r: Request): Response =
    answer(DrainView.serializer(), actions.drain(operatorOf(r)), Status.ACCEPTED)

private fun audit(actions: OperatorActions, r: Request): Response {
    val limit = r.query("limit")?.toIntOrNull() ?: DEFAULT_AUDIT_LIMIT
    val changes = actions.audit(limit.coerceIn(1, LARGEST_AUDIT_LIMIT))
    return either(ListSerializer(AuditView.serializer()), changes)
}

private fun operatorOf(r: Request): String =
    r.header(OPERATOR_HEADER)?.takeIf { it.isNotBlank() } ?: UNNAMED_OPERATOR

private fun <T> either(serializer: SerializationStrategy<T>, result: Either<ErrorView, T>) =
    result.fold(::failed) { answer(serializer, it) }

private fun <T> answer(serializer: SerializationStrategy<T>, value: T, status: Status = Status.OK) =
    Response(status)
        .header("Content-Type", "application/json")
        .body(json.encodeToString(serializer, value))

private fun failed(error: ErrorView): Response {
    val status = when {
        error.outcomeUnknown -> Status.GATEWAY_TIMEOUT
        error.retryAfterMillis != null -> Status.SERVICE_UNAVAILABLE
        else -> Status.NOT_FOUND
    }
    return answer(ErrorView.serializer(), error, status)
}

private fun notFound(step: String, what: String): Response =
    failed(ErrorView(step = step, peer = "this host", reason = "no such team: $what"))

private fun badRequest(step: String, reason: String): Response =
    answer(ErrorView.serializer(), ErrorView(step, "caller", reason), Status.BAD_REQUEST)
