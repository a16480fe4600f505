/** A thread that repeats one step at a jittered interval. */
package sycamoremast.daemon.control

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.tinylog.kotlin.Logger
import sycamoremast.daemon.log.event

/**
 * Repeats [step] on a daemon thread every [intervalMillis], jittered by about a tenth.
 *
 * If a step throws, the exception is logged and the loop continues.
 */
internal class ControlLoop(
    private val name: String,
    private val intervalMillis: Long,
    private val random: Random = Random.Default,
    private val step: () -> Unit
) : AutoCloseable {
    private val wakeUps = LinkedBlockingQueue<Unit>(1)
    private val thread = Thread(::run, "control-$name").apply { isDaemon = true }

    @Volatile
    private var closed = false

    fun start() = thread.start()

    /** Starts the next step without waiting for the interval to elapse. */
    fun wake() {
        wakeUps.offer(Unit)
    }

    override fun close() {
        closed = true
        thread.interrupt()
        if (thread != Thread.currentThread()) thread.join(CLOSE_WAIT_MILLIS)
    }

    private fun run() {
        try {
            while (!closed) {
                runStep()
                wakeUps.poll(jitteredIntervalMillis(), TimeUnit.MILLISECONDS)
            }
        } catch (_: InterruptedException) {
            Logger.debug { event("control-loop-ended", "loop" to name) }
        }
    }

    private fun runStep() {
        try {
            step()
        } catch (e: InterruptedException) {
            throw e
        } catch (e: Exception) {
            if (!closed) Logger.error(e) { event("control-loop-failed", "step" to name) }
        }
    }

    private fun jitteredIntervalMillis(): Long {
        val spread = intervalMillis / JITTER_DIVISOR + 1
        return intervalMillis - spread + random.nextLong(2 * spread)
    }

    private companion object {
        const val JITTER_DIVISOR = 10
        const val CLOSE_WAIT_MILLIS = 2_000L
    }
}
