/**
 * The HTTP server for callers.
 *
 * If forwarding a response fails midway, the server closes the caller's connection: ending only the
 * exchange would terminate a chunked response as if it were complete.
 */
package sycamoremast.daemon.request

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import io.undertow.util.HttpString
import io.undertow.util.StatusCodes
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.Http4kUndertowHttpHandler
import org.http4k.server.ServerConfig
import org.xnio.IoUtils
import sycamoremast.daemon.http.UndertowServer

/**
 * Serves requests at [address] and [port]; port 0 selects any free port.
 *
 * Each request in progress, including those that wait, occupies one of [workerThreads]. Callers
 * have to send their bodies at [minimumBodyRate] at least.
 */
class RequestServer(
    private val address: String,
    private val port: Int,
    private val workerThreads: Int = DEFAULT_WORKER_THREADS,
    private val minimumBodyRate: MinimumBodyRate = MinimumBodyRate()
) : ServerConfig {
    override val stopMode: ServerConfig.StopMode = ServerConfig.StopMode.Immediate

    override fun toServer(http: HttpHandler): Http4kServer {
        val stoppingHandler =
            StoppingHandler(BlockingHandler(AbortingHandler(http, minimumBodyRate)))
        val server = Undertow.builder()
            .addHttpListener(port, address)
            .setWorkerThreads(workerThreads)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MILLIS)
            .setHandler(stoppingHandler)
            .build()
        return UndertowServer(server) { stoppingHandler.isStopping = true }
    }

    /** Refuses requests on the I/O thread while the server stops, as its workers accept none. */
    private class StoppingHandler(private val next: io.undertow.server.HttpHandler) :
        io.undertow.server.HttpHandler {
        @Volatile
        var isStopping = false

        override fun handleRequest(exchange: HttpServerExchange) {
            if (isStopping) refuse(exchange) else next.handleRequest(exchange)
        }

        private fun refuse(exchange: HttpServerExchange) {
            val headers = exchange.responseHeaders
            headers.put(HttpString(RequestHeaders.OUTCOME), "not-run")
            headers.put(HttpString(RequestHeaders.RETRY_AFTER), RETRY_AFTER_SECONDS)
            headers.put(HttpString(RequestHeaders.FAILURE), "step=received peer=self")
            exchange.isPersistent = false
            exchange.statusCode = StatusCodes.SERVICE_UNAVAILABLE
            exchange.responseSender.send("not-run: the host is leaving (step=received peer=self)\n")
        }
    }

    /** Closes the caller's connection if handling a request fails. */
    private class AbortingHandler(http: HttpHandler, private val minimumRate: MinimumBodyRate) :
        io.undertow.server.HttpHandler {
        private val delegate = Http4kUndertowHttpHandler(http)

        override fun handleRequest(exchange: HttpServerExchange) {
            exchange.startBlocking(MinimumRateExchange(exchange, minimumRate))
            try {
                delegate.handleRequest(exchange)
            } catch (e: Exception) {
                IoUtils.safeClose(exchange.connection)
            }
        }
    }

    companion object {
        /** Enough threads for the default limits of slots and of waiting requests. */
        const val DEFAULT_WORKER_THREADS = 1_200
        private const val RETRY_AFTER_SECONDS = "1"

        /** How long a connection may be idle between requests; a request may take longer. */
        private const val IDLE_TIMEOUT_MILLIS = 60_000
        private const val PARSE_TIMEOUT_MILLIS = 10_000
    }
}
