/** Ties one call of the HTTP client to its connection and to its request's life. */
package sycamoremast.daemon.request

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Request
import okhttp3.Response
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestLifecycle

internal class Exchange(private val life: RequestLifecycle) {
    private var socket: WatchedSocket? = null
    private var isChunked = false

    /** Whether more than the answer has arrived; known once the answer was read to its end. */
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
     * Judges the end of an answer of [bodyBytes].
     *
     * It has to be called before the connection is free for another request, whose answer would be
     * counted with this one. A chunked answer's end can't be told from what follows it, so that its
     * connection is never kept.
     */
    fun answered(bodyBytes: Long) {
        isOverlong = !isChunked && socket().bytesAfterHeaders() > bodyBytes
        if (isChunked || isOverlong) socket().close()
    }
}

/** Whether the body comes in chunks. */
internal val Response.isChunked get() = header("Transfer-Encoding").equals("chunked", true)

/** Notes when a request's last byte has been handed to the connection and its answer has ended. */
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
