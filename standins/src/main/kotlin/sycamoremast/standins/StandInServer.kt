/**
 * The HTTP server that all stand-ins share.
 *
 * It uses Undertow directly because the injected faults need operations that http4k does not
 * expose: closing a connection without a response, truncating a body, and flushing a streamed
 * response.
 */
package sycamoremast.standins

import io.undertow.Undertow
import io.undertow.UndertowOptions
import io.undertow.server.HttpServerExchange
import io.undertow.server.handlers.BlockingHandler
import io.undertow.util.Headers
import io.undertow.util.HttpString
import java.net.InetSocketAddress
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import org.tinylog.kotlin.Logger

/** The default address that a stand-in listens on. */
internal const val LOOPBACK = "127.0.0.1"
private const val CONTENT_TYPE_JSON = "application/json"

/** The JSON format of all stand-ins: ignores unknown fields and writes default values. */
internal val standInJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** A listening server that passes each call to [handle] on one of [threads] worker threads. */
internal class StandInServer(
    kind: String,
    port: Int,
    threads: Int = DEFAULT_THREADS,
    address: String = LOOPBACK,
    private val handle: (Call) -> Unit
) : AutoCloseable {
    private val server: Undertow = Undertow.builder()
        .addHttpListener(port, address)
        .setIoThreads(IO_THREADS)
        .setWorkerThreads(threads)
        .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
        .setHandler(BlockingHandler { serve(Call(it)) })
        .build()
        .also { it.start() }

    /** The port that the server listens on. */
    val port: Int = (server.listenerInfo.single().address as InetSocketAddress).port

    init {
        Logger.info("event=listening kind=$kind address=$address:${this.port}")
    }

    override fun close() {
        server.stop()
    }

    private fun serve(call: Call) {
        try {
            handle(call)
        } catch (e: SerializationException) {
            call.respondText(e.message.orEmpty(), Call.STATUS_BAD_REQUEST)
        }
    }

    companion object {
        private const val DEFAULT_THREADS = 128
        private const val IO_THREADS = 2
        private const val MAX_BODY_BYTES = 64L * 1024 * 1024
    }
}

/** An HTTP exchange with a client. */
internal class Call(private val exchange: HttpServerExchange) {
    val method: String = exchange.requestMethod.toString()
    val path: String = exchange.requestPath

    /** Identifies the connection that carries this call. */
    val connection: Any get() = exchange.connection

    fun header(name: String): String? = exchange.requestHeaders.getFirst(name)

    fun body(): String = exchange.inputStream.readBytes().decodeToString()

    inline fun <reified T> read(): T = standInJson.decodeFromString(serializer<T>(), body())

    inline fun <reified T> respond(value: T, status: Int = STATUS_OK) =
        respondText(standInJson.encodeToString(serializer<T>(), value), status)

    fun respondText(text: String, status: Int = STATUS_OK, headers: Map<String, String> = mapOf()) {
        exchange.statusCode = status
        exchange.responseHeaders.put(Headers.CONTENT_TYPE, CONTENT_TYPE_JSON)
        headers.forEach { (name, value) -> exchange.responseHeaders.put(HttpString(name), value) }
        val bytes = text.encodeToByteArray()
        exchange.responseContentLength = bytes.size.toLong()
        exchange.outputStream.use { it.write(bytes) }
    }

    /** Announces the full length of [text] but closes the connection after [sentBytes] bytes. */
    fun respondTruncated(text: String, sentBytes: Int, headers: Map<String, String>) {
        headers.forEach { (name, value) -> exchange.responseHeaders.put(HttpString(name), value) }
        val bytes = text.encodeToByteArray()
        exchange.responseContentLength = bytes.size.toLong()
        exchange.outputStream.write(bytes, 0, sentBytes.coerceAtMost(bytes.size - 1))
        exchange.outputStream.flush()
        abort()
    }

    /** Sends one line of a streamed response and flushes it. */
    fun sendLine(line: String) {
        exchange.outputStream.write((line + "\n").encodeToByteArray())
        exchange.outputStream.flush()
    }

    /** Closes the connection without sending anything more. */
    fun abort() {
        exchange.connection.close()
    }

    /** Registers [action] to run when the connection of this call is closed. */
    fun onConnectionClosed(action: () -> Unit) {
        exchange.connection.addCloseListener { action() }
    }

    companion object {
        const val STATUS_OK = 200
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_NOT_FOUND = 404
        const val STATUS_CONFLICT = 409
        const val STATUS_UNPROCESSABLE = 422
        const val STATUS_UNAVAILABLE = 503
    }
}
