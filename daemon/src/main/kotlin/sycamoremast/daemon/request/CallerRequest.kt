/** Parses callers' HTTP requests and matches them to the configuration in force. */
package sycamoremast.daemon.request

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.http4k.core.Method
import org.http4k.core.Request
import sycamoremast.configuration.Route
import sycamoremast.configuration.Service
import sycamoremast.coordination.request.RequestOutcome.Malformed
import sycamoremast.daemon.control.ConfigurationView

/**
 * A valid request to [service].
 *
 * [deadline] is the time from the receipt of the request to its deadline. [path] is the path below
 * that of the service, with the query. [route] is null if no configured route matches the path.
 */
internal data class CallerRequest(
    val id: String,
    val service: String,
    val team: String,
    val path: String,
    val deadline: Duration,
    val idempotencyKey: String?,
    val route: Route?,
    val retryPercent: Int,
    val http: Request
) {
    /** The route's name, by which run times are estimated. */
    val routeName: String get() = route?.name ?: DEFAULT_ROUTE

    /** Whether the request may be run more than once. */
    val isIdempotent: Boolean get() = http.method in SAFE_METHODS || route?.idempotent == true

    companion object {
        private const val DEFAULT_ROUTE = "default"
        private val SAFE_METHODS = setOf(Method.GET, Method.HEAD, Method.OPTIONS)
    }
}

/** Parses callers' requests according to the configuration in force. */
internal class CallerRequestReader(
    private val configuration: ConfigurationView,
    private val settings: RequestPathSettings
) {
    /** Returns the request that [http] describes, or the reason why it is invalid. */
    fun read(http: Request): Either<Malformed, CallerRequest> = either {
        val target = http.uri.path.removePrefix(SERVICES)
        val service = target.substringBefore('/')
        ensure(http.uri.path.startsWith(SERVICES) && service.isNotEmpty()) {
            Malformed(NOT_FOUND, "the path must start with /services/{service}/")
        }
        ensure((http.body.length ?: 0) <= settings.maxBodyBytes) {
            Malformed(TOO_LARGE, "the body exceeds ${settings.maxBodyBytes} bytes")
        }
        val path = "/" + target.substringAfter('/', "")
        val owner = ownerOf(service, http.header(RequestHeaders.TEAM))
        CallerRequest(
            id = requestId(http).bind(),
            service = service,
            team = owner?.team ?: http.header(RequestHeaders.TEAM).orEmpty(),
            path = path + queryOf(http),
            deadline = deadline(http, owner?.service).bind(),
            idempotencyKey = idempotencyKey(http).bind(),
            route = owner?.service?.routeFor(path),
            retryPercent = owner?.service?.retryPercent ?: Service.DEFAULT_RETRY_PERCENT,
            http = http
        )
    }

    private data class Owner(val team: String, val service: Service)

    private fun ownerOf(service: String, team: String?): Owner? {
        val owners = configuration.inForce().values.sortedBy { it.team }.mapNotNull { applied ->
            val found = applied.configuration.services.find { it.name == service }
            found?.let { Owner(applied.team, it) }
        }
        return owners.find { it.team == team } ?: owners.firstOrNull()
    }

    private fun Service.routeFor(path: String) =
        routes.filter { path.startsWith(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }

    private fun requestId(http: Request): Either<Malformed, String> {
        val id =
            http.header(RequestHeaders.REQUEST_ID) ?: return UUID.randomUUID().toString().right()
        return token(RequestHeaders.REQUEST_ID, id)
    }

    private fun idempotencyKey(http: Request): Either<Malformed, String?> {
        val key = http.header(RequestHeaders.IDEMPOTENCY_KEY) ?: return null.right()
        return token(RequestHeaders.IDEMPOTENCY_KEY, key)
    }

    private fun token(header: String, value: String): Either<Malformed, String> =
        if (TOKEN.matches(value)) {
            value.right()
        } else {
            Malformed(BAD_REQUEST, "$header must be 1 to 128 visible characters").left()
        }

    private fun deadline(http: Request, service: Service?): Either<Malformed, Duration> {
        val given = http.header(RequestHeaders.DEADLINE_MILLIS)
            ?: return (service?.deadline ?: settings.defaultDeadlineMillis.milliseconds).right()
        val millis = given.toLongOrNull()?.takeIf { it in 1..MAX_DEADLINE_MILLIS }
        return millis?.milliseconds?.right()
            ?: Malformed(
                BAD_REQUEST,
                "${RequestHeaders.DEADLINE_MILLIS} must be 1 to $MAX_DEADLINE_MILLIS: $given"
            ).left()
    }

    private fun queryOf(http: Request) = if (http.uri.query.isEmpty()) "" else "?${http.uri.query}"

    private companion object {
        const val SERVICES = "/services/"
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val TOO_LARGE = 413
        const val MAX_DEADLINE_MILLIS = 86_400_000L
        val TOKEN = Regex("[\\x21-\\x7e]{1,128}")
    }
}
