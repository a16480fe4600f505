/** Background loops of the request path. */
package sycamoremast.daemon.request

import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import org.tinylog.kotlin.Logger
import sycamoremast.daemon.log.event

/**
 * Runs [step] repeatedly on a thread of its own.
 *
 * Each step returns the delay in milliseconds until the next one; [wake] ends the delay early. A
 * failed step is logged and retried after [RETRY_MILLIS].
 */
internal class Loop(private val name: String, private val step: () -> Long) : AutoCloseable {
    private val wakeUps = Semaphore(0)
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var isClosed = false

    fun start() = thread.start()

    /** Ends the current delay, so that the next step runs immediately. */
    fun wake() {
        if (wakeUps.availablePermits() == 0) wakeUps.release()
    }

    override fun close() {
        isClosed = true
        thread.interrupt()
    }

    private fun run() {
        try {
            while (!isClosed) {
                wakeUps.tryAcquire(guardedStep(), TimeUnit.MILLISECONDS)
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun guardedStep(): Long = try {
        step()
    } catch (e: RuntimeException) {
        if (!isClosed) Logger.error(e) { event("loop-failed", "step" to name) }
        RETRY_MILLIS
    }

    private companion object {
        const val RETRY_MILLIS = 100L
    }
}
