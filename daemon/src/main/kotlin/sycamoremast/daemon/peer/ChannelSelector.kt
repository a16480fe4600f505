/**
 * Suspends coroutines until a network channel is ready.
 *
 * One thread waits for all channels. A coroutine tries an operation first and waits here only if
 * the channel isn't ready, so that a peer that doesn't read or write holds up no thread.
 */
package sycamoremast.daemon.peer

import java.io.IOException
import java.nio.channels.CancelledKeyException
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.tinylog.kotlin.Logger
import sycamoremast.daemon.log.event

/** Waits for the readiness of non-blocking channels on a thread of its own. */
internal class ChannelSelector private constructor(private val selector: Selector) : AutoCloseable {
    private class Waiter(val operation: Int, val continuation: CancellableContinuation<Unit>)

    private val requests = ConcurrentLinkedQueue<() -> Unit>()

    /** The waiters of each channel; confined to the thread. */
    private val waiters = HashMap<SelectableChannel, List<Waiter>>()

    @Volatile
    private var isOpen = true
    private val thread = Thread(::run, "peer-selector").apply { isDaemon = true }

    /**
     * Suspends until [channel] is ready for [operation], a constant of [SelectionKey].
     *
     * @throws ClosedChannelException if [channel] is closed meanwhile
     */
    suspend fun awaitReady(channel: SelectableChannel, operation: Int) =
        suspendCancellableCoroutine { continuation ->
            request { register(channel, Waiter(operation, continuation)) }
        }

    /** Fails all that wait for [channel], which has been closed. */
    fun release(channel: SelectableChannel) = request { fail(channel, ClosedChannelException()) }

    private fun request(action: () -> Unit) {
        requests += action
        selector.wakeup()
    }

    private fun run() {
        while (isOpen) {
            try {
                selector.select(::resumeReady)
                while (true) (requests.poll() ?: break)()
            } catch (e: Exception) {
                Logger.error(e) { event("peer-selector-failed", "step" to "select") }
                Thread.sleep(FAILURE_PAUSE_MILLIS)
            }
        }
        waiters.keys.toList().forEach { fail(it, ClosedChannelException()) }
        selector.close()
    }

    private fun register(channel: SelectableChannel, waiter: Waiter) {
        val others = waiters[channel].orEmpty().filter { it.operation != waiter.operation }
        waiters[channel] = others + waiter
        try {
            watch(channel)
        } catch (e: IOException) {
            fail(channel, e)
        } catch (_: CancelledKeyException) {
            fail(channel, ClosedChannelException())
        }
    }

    /** Makes the selector watch [channel] for what its waiters wait for. */
    private fun watch(channel: SelectableChannel) {
        val operations = waiters.getValue(channel).fold(0) { all, waiter ->
            all or waiter.operation
        }
        channel.register(selector, operations)
    }

    private fun resumeReady(key: SelectionKey) {
        val channel = key.channel()
        try {
            val readyOperations = key.readyOps()
            key.interestOpsAnd(readyOperations.inv())
            val (ready, others) = waiters[channel].orEmpty()
                .partition { it.operation and readyOperations != 0 }
            if (others.isEmpty()) waiters -= channel else waiters[channel] = others
            ready.forEach { it.continuation.resume(Unit) }
        } catch (_: CancelledKeyException) {
            fail(channel, ClosedChannelException())
        }
    }

    private fun fail(channel: SelectableChannel, cause: IOException) {
        waiters.remove(channel)?.forEach { it.continuation.resumeWithException(cause) }
    }

    override fun close() {
        isOpen = false
        selector.wakeup()
    }

    companion object {
        /** Keeps a selector that fails repeatedly from taking all processor time. */
        private const val FAILURE_PAUSE_MILLIS = 100L

        /** Returns a selector whose thread runs until it is closed. */
        fun start() = ChannelSelector(Selector.open()).apply { thread.start() }
    }
}
