/** A backend server whose responses a test scripts byte by byte. */
package sycamoremast.daemon.request

import java.io.Closeable
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A request as received over the wire. */
internal data class RawRequest(
    val line: String,
    val headers: Map<String, String>,
    val body: String
) {
    val id: String get() = headers.getValue("x-request-id")
}

/** Runs [script] for each request; the script returns false to close the connection. */
internal class RawBackend(private val script: RawConnection.(RawRequest) -> Boolean) : Closeable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val connectionCounter = AtomicInteger()
    private val deferred = DeferredAction()

    val port: Int get() = server.localPort

    /** All requests in the order of their arrival. */
    val requests = CopyOnWriteArrayList<RawRequest>()

    val connections: Int get() = connectionCounter.get()

    init {
        thread(isDaemon = true) { acceptAll() }
    }

    private fun acceptAll() {
        try {
            while (true) {
                val socket = server.accept()
                connectionCounter.incrementAndGet()
                sockets += socket
                thread(isDaemon = true) { serve(socket) }
            }
        } catch (e: IOException) {
            // The test has closed the backend.
        }
    }

    private fun serve(socket: Socket) {
        try {
            val connection = RawConnection(socket, deferred)
            while (true) {
                val request = connection.read() ?: break
                requests += request
                if (!connection.script(request)) break
            }
            socket.close()
        } catch (e: IOException) {
            socket.close()
        }
    }

    /** Lets a script run the action that it defers until after its response, and waits for it. */
    fun runDeferred() = deferred.allowAndAwait()

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 200
    }
}

/** One connection of a [RawBackend]. */
internal class RawConnection(private val socket: Socket, private val deferred: DeferredAction) {
    private val input = socket.getInputStream().buffered()
    private val output = socket.getOutputStream()

    fun read(): RawRequest? {
        val line = readLine(input) ?: return null
        val headers = generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val length = headers["content-length"]?.toInt() ?: 0
        return RawRequest(line, headers, input.readNBytes(length).decodeToString())
    }

    /** Writes [text] unchanged. */
    fun write(text: String): Boolean {
        output.write(text.toByteArray())
        output.flush()
        return true
    }

    /** Writes a complete response with [body] and the additional header lines [headers]. */
    fun answer(
        request: RawRequest,
        body: String,
        status: String = "200 OK",
        headers: List<String> = emptyList(),
        length: Int = body.length
    ): Boolean {
        val lines = listOf(
            "HTTP/1.1 $status",
            "X-Request-Id: ${request.id}",
            "Content-Length: $length"
        ) + headers
        return write(lines.joinToString("\r\n", postfix = "\r\n\r\n") + body)
    }

    /** Runs [action] once the test has received the response and allows it. */
    fun defer(action: () -> Unit) = deferred.runWhenAllowed(action)

    /** Resets the connection, so that the peer sees an error instead of the end of the stream. */
    fun reset(): Boolean {
        socket.setSoLinger(true, 0)
        socket.close()
        return false
    }

    private fun readLine(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.removeSuffix("\r").toString()
            line.append(byte.toChar())
        }
    }
}

/** Accepts connections, and runs [script] with each socket before closing it. */
internal class RawListener(private val script: (Socket) -> Unit) : Closeable {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))

    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().use(script)
            } catch (e: IOException) {
                // The test has closed the listener.
            }
        }
    }

    override fun close() = server.close()
}

/** Synchronizes a deferred action of a script with the test. */
internal class DeferredAction {
    private val allowed = CountDownLatch(1)
    private val done = CountDownLatch(1)

    fun runWhenAllowed(action: () -> Unit) {
        check(allowed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS))
        action()
        done.countDown()
    }

    fun allowAndAwait() {
        allowed.countDown()
        check(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS))
    }

    private companion object {
        const val TIMEOUT_SECONDS = 20L
    }
}
