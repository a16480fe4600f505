/** Ties one call of the HTTP client to its connection and to its request's life. */
package sycamoremast.daemon.request

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Request
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestLife

internal class Exchange(private val life: RequestLife) {
    private var socket: WatchedSocket? = null

    fun acquired(socket: WatchedSocket) {
        this.socket = socket
    }

    fun socket(): WatchedSocket = checkNotNull(socket) { "no connection was acquired" }

    fun sending() {
        life.on(RequestEvent.SEND)
    }

    fun sent() {
        life.on(RequestEvent.SENT)
    }
}

/** Notes in the request's life when its last byte has been handed to the connection. */
internal class ExchangeListener(private val exchange: Exchange) : EventListener() {
    override fun requestHeadersEnd(call: Call, request: Request) {
        if (request.body == null) exchange.sent()
    }

    override fun requestBodyEnd(call: Call, byteCount: Long) = exchange.sent()

    companion object {
        val FACTORY = Factory { call ->
            ExchangeListener(checkNotNull(call.request().tag(Exchange::class.java)))
        }
    }
}
