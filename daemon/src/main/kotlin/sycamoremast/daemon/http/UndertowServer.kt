/** Adapts an Undertow server to http4k's server interface. */
package sycamoremast.daemon.http

import io.undertow.Undertow
import java.net.InetSocketAddress
import org.http4k.server.Http4kServer

/** Starts and stops [server], and calls [beforeStop] while it still accepts requests. */
internal class UndertowServer(
    private val server: Undertow,
    private val beforeStop: () -> Unit = {}
) : Http4kServer {
    override fun start(): Http4kServer = apply { server.start() }

    override fun stop(): Http4kServer = apply {
        beforeStop()
        server.stop()
    }

    override fun port(): Int = (server.listenerInfo.single().address as InetSocketAddress).port
}
