/** A watch on the key-value service: one streamed response, read on its own thread. */
package sycamoremast.daemon.platform

import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.serialization.SerializationException
import okhttp3.Call
import okhttp3.Response
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.WatchListener

/** Notifies [listener] of each change in the response to [call], until either side ends it. */
internal class HttpWatch(
    private val address: String,
    private val call: Call,
    private val listener: WatchListener
) : AutoCloseable {
    private val closed = AtomicBoolean()
    private val thread = Thread(::run, "store-watch").apply { isDaemon = true }

    fun start() = thread.start()

    override fun close() {
        closed.set(true)
        call.cancel()
    }

    private fun run() {
        val error = try {
            call.execute().use(::readEvents)
        } catch (e: IOException) {
            storeError(e.message ?: e.javaClass.simpleName)
        } catch (e: SerializationException) {
            storeError("not understood: ${e.message}")
        }
        listener.onEnd(error.takeUnless { closed.get() })
    }

    private fun readEvents(response: Response): StoreError {
        if (!response.isSuccessful) return storeError("status ${response.code}")
        val source = response.body.source()
        while (true) {
            val line = source.readUtf8Line() ?: return storeError("the service ended the watch")
            val result = platformJson.decodeFromString<WatchResponse>(line).result ?: continue
            if (result.canceled) return storeError("cancelled: ${result.cancelReason}")
            if (!closed.get()) result.events.forEach(::notifyListener)
        }
    }

    private fun notifyListener(event: WatchEvent) {
        val value = if (event.isDeletion) null else decodeBase64(event.kv.value)
        listener.onChange(decodeBase64(event.kv.key), value, event.kv.modRevision)
    }

    private fun storeError(reason: String): StoreError {
        val mayBeSent = call.request().tag(SendTracker::class.java)?.hasStarted != false
        return if (mayBeSent) {
            StoreError.AnswerLost(STEP, address, reason)
        } else {
            StoreError.NotSent(STEP, address, reason)
        }
    }

    companion object {
        private const val STEP = "store-watch"
    }
}
