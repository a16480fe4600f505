package sycamoremast.daemon.peer

import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.Continuation
import kotlin.coroutines.ContinuationInterceptor
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PeerSocketTest {
    private val selector = ChannelSelector.start()
    private val opened = mutableListOf<AutoCloseable>(selector)

    @AfterEach
    fun close() = opened.asReversed().forEach { it.close() }

    private fun <T : AutoCloseable> T.closedAtEnd() = also { opened += it }

    private fun listen() =
        PeerListener.bind(InetSocketAddress("127.0.0.1", 0), selector).closedAtEnd()

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

    private companion object {
        const val WAITING_CONNECTIONS = 200
        const val CONNECT_LIMIT_MILLIS = 5_000
        const val READ_LIMIT_MILLIS = 5_000
        val LIMIT = 20.seconds
    }
}
