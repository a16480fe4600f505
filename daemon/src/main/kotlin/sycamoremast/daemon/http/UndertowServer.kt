/** An Undertow server in the form that http4k gives to servers. */
package sycamoremast.daemon.http

import io.undertow.Undertow
import java.net.InetSocketAddress
import org.http4k.server.Http4kServer

/** Runs [server]; calls [beforeStop] while it still answers. */
internal class RunningServer(
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
