/** HTTP servers that listen on a single IP address with a bounded number of threads. */
package sycamoremast.daemon.http

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.handlers.BlockingHandler
import java.net.InetSocketAddress
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.http4k.server.Http4kUndertowHttpHandler
import org.http4k.server.ServerConfig

private const val IO_THREADS = 2
private const val IDLE_TIMEOUT_MILLIS = 60_000
private const val REQUEST_PARSE_TIMEOUT_MILLIS = 10_000

/**
 * Configures an Undertow server on [address] with [workerThreads] threads for handlers.
 *
 * Port 0 selects any free port. A request is rejected before it reaches the handler if its headers
 * exceed Undertow's default limit or its body exceeds [maxBodyBytes].
 */
data class BoundHttpServer(
    val address: InetSocketAddress,
    val workerThreads: Int,
    val maxBodyBytes: Long
) : ServerConfig {
    override val stopMode: ServerConfig.StopMode = ServerConfig.StopMode.Immediate

    override fun toServer(http: HttpHandler): Http4kServer {
        val server = Undertow.builder()
            .addHttpListener(address.port, address.hostString)
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(workerThreads)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, maxBodyBytes)
            .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
            .setHandler(BlockingHandler(Http4kUndertowHttpHandler(http)))
            .build()
        return UndertowServer(server)
    }
}
