/** The load balancer's health checks and the metrics endpoint. */
package sycamoremast.daemon.operator

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.http4k.core.Method.GET
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

/**
 * Returns the handler of `/live`, `/ready` and `/metrics`.
 *
 * [notReadyReasons] returns why the balancer must not route requests here; empty means ready.
 */
internal fun healthRoutes(
    registry: PrometheusMeterRegistry,
    notReadyReasons: () -> List<String>
): RoutingHttpHandler = routes(
    "/live" bind GET to { Response(Status.OK).body("live\n") },
    "/ready" bind GET to { readyResponse(notReadyReasons()) },
    "/metrics" bind GET to {
        Response(Status.OK).header("Content-Type", "text/plain").body(registry.scrape())
    }
)

private fun readyResponse(reasons: List<String>): Response = when {
    reasons.isEmpty() -> Response(Status.OK).body("ready\n")
    else -> Response(Status.SERVICE_UNAVAILABLE).body(reasons.joinToString("\n", postfix = "\n"))
}
