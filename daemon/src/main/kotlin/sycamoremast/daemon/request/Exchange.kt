/** Connects one call of the HTTP client with its socket and with the request's lifecycle. */
package sycamoremast.daemon.request

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Request
import okhttp3.Response
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestLife

/** One call of the HTTP client, whose progress is reported to [life]. */
internal class Exchange(private val life: RequestLife) {
    private var socket: WatchedSocket? = null
    private var isChunked = false

    /** Whether bytes arrived after the response body; known once the body was read to its end. */
    @Volatile
    var isOverlong = false
        private set

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

    fun answering(response: Response) {
        isChunked = response.isChunked
    }

    /**
     * Checks whether surplus bytes follow the response body, which has [bodyBytes].
     *
     * This has to be called before the connection is free for another request, whose response would
     * be counted with this one. The bytes after a chunked body can't be counted, so a connection is
     * never reused after a chunked response.
     */
    fun answered(bodyBytes: Long) {
        isOverlong = !isChunked && socket().bytesAfterHeaders() > bodyBytes
        if (isChunked || isOverlong) socket().close()
    }
}

/** Whether the body has chunked transfer encoding. */
internal val Response.isChunked get() = header("Transfer-Encoding").equals("chunked", true)

/** Reports the end of sending and the start and end of the response to [exchange]. */
internal class ExchangeListener(private val exchange: Exchange) : EventListener() {
    override fun requestHeadersEnd(call: Call, request: Request) {
        if (request.body == null) exchange.sent()
    }

    override fun requestBodyEnd(call: Call, byteCount: Long) = exchange.sent()

    override fun responseHeadersEnd(call: Call, response: Response) = exchange.answering(response)

    override fun responseBodyEnd(call: Call, byteCount: Long) = exchange.answered(byteCount)

    companion object {
        val FACTORY = Factory { call ->
            ExchangeListener(checkNotNull(call.request().tag(Exchange::class.java)))
        }
    }
}
