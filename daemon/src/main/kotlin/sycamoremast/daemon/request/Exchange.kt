/** Connects one call of the HTTP client with its socket and with the request's lifecycle. */
package sycamoremast.daemon.request

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.Request
import okhttp3.Response
import sycamoremast.coordination.request.RequestEvent
import sycamoremast.coordination.request.RequestLifecycle

/** One call of the HTTP client, whose progress is reported to [lifecycle]. */
internal class Exchange(private val lifecycle: RequestLifecycle) {
    private var socket: ByteCountingSocket? = null
    private var isChunked = false

    /** Whether bytes arrived after the response body; known once the body was read to its end. */
    @Volatile
    var hasSurplusBytes = false
        private set

    fun onConnectionAcquired(socket: ByteCountingSocket) {
        this.socket = socket
    }

    fun socket(): ByteCountingSocket = checkNotNull(socket) { "no connection was acquired" }

    fun onRequestStart() {
        lifecycle.on(RequestEvent.SEND)
    }

    fun onRequestEnd() {
        lifecycle.on(RequestEvent.SENT)
    }

    fun onResponseHeaders(response: Response) {
        isChunked = response.isChunked
    }

    /**
     * Checks whether surplus bytes follow the response body, which has [bodyBytes].
     *
     * This has to be called before the connection is free for another request, whose response would
     * be counted with this one. The bytes after a chunked body can't be counted, so a connection is
     * never reused after a chunked response.
     */
    fun onResponseEnd(bodyBytes: Long) {
        hasSurplusBytes = !isChunked && socket().bytesAfterHeaders() > bodyBytes
        if (isChunked || hasSurplusBytes) socket().close()
    }
}

/** Whether the body has chunked transfer encoding. */
internal val Response.isChunked get() = header("Transfer-Encoding").equals("chunked", true)

/** Reports the end of sending and the start and end of the response to [exchange]. */
internal class ExchangeListener(private val exchange: Exchange) : EventListener() {
    override fun requestHeadersEnd(call: Call, request: Request) {
        if (request.body == null) exchange.onRequestEnd()
    }

    override fun requestBodyEnd(call: Call, byteCount: Long) = exchange.onRequestEnd()

    override fun responseHeadersEnd(call: Call, response: Response) =
        exchange.onResponseHeaders(response)

    override fun responseBodyEnd(call: Call, byteCount: Long) = exchange.onResponseEnd(byteCount)

    companion object {
        val FACTORY = Factory { call ->
            ExchangeListener(checkNotNull(call.request().tag(Exchange::class.java)))
        }
    }
}
