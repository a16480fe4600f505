package sycamoremast.daemon.peer

import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.ByteBuffer
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.Continuation
import kotlin.coroutines.ContinuationInterceptor
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contentEquals
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class PeerSocketTest {
    private val selector = ChannelSelector.start()
    private val opened = mutableListOf<AutoCloseable>(selector)

    @AfterEach
    fun close() = opened.asReversed().forEach { it.close() }

    private fun <T : AutoCloseable> T.closedAtEnd() = also { opened += it }

    private fun listen() =
        PeerListener.bind(InetSocketAddress("127.0.0.1", 0), selector).closedAtEnd()

    private fun connectedPair(): Pair<PeerSocket, PeerSocket> = runBlocking {
        val listener = listen()
        val address = InetSocketAddress("127.0.0.1", listener.port)
        val dialled =
            checkNotNull(PeerSocket.connectOrNull(address, selector, LIMIT)).closedAtEnd()
        dialled to listener.accept().closedAtEnd()
    }

    // Guards against hosts that can't connect to one that was frozen while many dialled it.
    @Test
    fun `a listener keeps connections of many hosts waiting until it accepts them`() {
        val listener = listen()
        repeat(WAITING_CONNECTIONS) {
            val socket = Socket().closedAtEnd()
            socket.connect(InetSocketAddress("127.0.0.1", listener.port), CONNECT_LIMIT_MILLIS)
        }
    }

    // Guards against attempts that keep their descriptor and hold up a peer once cancelled.
    @Test
    fun `an attempt to connect that is cancelled as it succeeds closes its connection`() {
        val server = ServerSocket(0).closedAtEnd()
        val address = InetSocketAddress("127.0.0.1", server.localPort)
        val job = Job()
        CoroutineScope(job + BeforeResuming { job.cancel() })
            .launch(start = CoroutineStart.UNDISPATCHED) {
                PeerSocket.connectOrNull(address, selector, LIMIT)
            }
        server.soTimeout = READ_LIMIT_MILLIS
        val accepted = server.accept().closedAtEnd()
        accepted.soTimeout = READ_LIMIT_MILLIS
        expectThat(accepted.getInputStream().read()).isEqualTo(-1)
    }

    /** Calls [action] whenever a coroutine that was suspended goes on, and before it does. */
    private class BeforeResuming(private val action: () -> Unit) :
        AbstractCoroutineContextElement(ContinuationInterceptor),
        ContinuationInterceptor {
        override fun <T> interceptContinuation(continuation: Continuation<T>) =
            Continuation<T>(continuation.context) {
                action()
                continuation.resumeWith(it)
            }
    }

    // Guards against a reader or a writer of a connection that ends the other's wait.
    @Test
    fun `both ends send more than their buffers hold at once and receive it in order`() {
        val (a, b) = connectedPair()
        val bytes = ByteArray(LARGE_BYTES) { (it * 31 + it / 251).toByte() }
        val received = runBlocking(Dispatchers.IO) {
            withTimeout(LIMIT) {
                listOf(a, b).forEach { launch { it.write(ByteBuffer.wrap(bytes)) } }
                listOf(a, b).map { async { it.read(LARGE_BYTES) } }.awaitAll()
            }
        }
        expectThat(received).all { contentEquals(bytes) }
    }

    // Guards against a coroutine that waits for good because its connection was replaced.
    @Test
    fun `closing a socket fails the read and the write that wait for it`() {
        val (a, _) = connectedPair()
        val failures = runBlocking(Dispatchers.IO) {
            val waiting = listOf(
                async(start = CoroutineStart.UNDISPATCHED) { failureOf { a.read(1) } },
                async(start = CoroutineStart.UNDISPATCHED) {
                    failureOf { while (true) a.write(ByteBuffer.allocate(LARGE_BYTES)) }
                }
            )
            a.close()
            withTimeout(LIMIT) { waiting.awaitAll() }
        }
        expectThat(failures).all { isA<IOException>() }
    }

    private suspend fun failureOf(action: suspend () -> Unit): IOException? = try {
        action()
        null
    } catch (e: IOException) {
        e
    }

    // Guards against a wait that was cancelled and keeps a later one from being noticed.
    @Test
    fun `a socket can be read after a read of it has timed out`() {
        val (a, b) = connectedPair()
        runBlocking(Dispatchers.IO) {
            expectThat(withTimeoutOrNull(SHORT_LIMIT) { a.read(1) }).isNull()
            val later = async(start = CoroutineStart.UNDISPATCHED) { a.read(1) }
            b.write(ByteBuffer.wrap(byteArrayOf(7)))
            expectThat(withTimeoutOrNull(LIMIT) { later.await() }).isNotNull()
        }
    }

    // Guards against a coroutine that outlives its network.
    @Test
    fun `closing the selector fails what waits`() {
        val (a, _) = connectedPair()
        val failure = runBlocking(Dispatchers.IO) {
            val waiting =
                async(start = CoroutineStart.UNDISPATCHED) { failureOf { a.read(1) } }
            selector.close()
            withTimeout(LIMIT) { waiting.await() }
        }
        expectThat(failure).isA<IOException>()
    }

    private companion object {
        const val WAITING_CONNECTIONS = 200
        const val CONNECT_LIMIT_MILLIS = 5_000

        /** More than the system buffers for one connection. */
        const val LARGE_BYTES = 20_000_000
        const val READ_LIMIT_MILLIS = 5_000
        val SHORT_LIMIT = 50.milliseconds
        val LIMIT = 20.seconds
    }
}
