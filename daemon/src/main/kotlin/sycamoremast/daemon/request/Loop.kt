/** Background loops of the request path. */
package sycamoremast.daemon.request

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import org.tinylog.kotlin.Logger
import sycamoremast.daemon.log.event

/** Runs [step] again and again on a thread of its own; a failed step is logged and repeated. */
internal class Loop(
    private val name: String,
    private val everyMillis: Long,
    private val step: () -> Unit
) : AutoCloseable {
    private val executor: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, name).apply { isDaemon = true }
        }

    fun start() {
        executor.scheduleWithFixedDelay(::run, 0, everyMillis, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun run() {
        try {
            step()
        } catch (e: RuntimeException) {
            if (!Thread.currentThread().isInterrupted) {
                Logger.error(e) { event("loop-failed", "step" to name) }
            }
        }
    }
}
