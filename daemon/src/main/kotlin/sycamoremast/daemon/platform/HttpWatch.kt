/** A watch on the key-value service: one streamed answer, read on a thread of its own. */
package sycamoremast.daemon.platform

import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.serialization.SerializationException
import okhttp3.Call
import okhttp3.Response
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.WatchListener

/** Passes the changes that [call] streams to [listener], until either side ends it. */
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
            call.execute().use(::read)
        } catch (e: IOException) {
            failure(e.message ?: e.javaClass.simpleName)
        } catch (e: SerializationException) {
            failure("not understood: ${e.message}")
        }
        listener.onEnd(error.takeUnless { closed.get() })
    }

    private fun read(response: Response): StoreError {
        if (!response.isSuccessful) return failure("status ${response.code}")
        val source = response.body.source()
        while (true) {
            val line = source.readUtf8Line() ?: return failure("the service ended the watch")
            val result = platformJson.decodeFromString<WatchResponse>(line).result ?: continue
            if (result.canceled) return failure("cancelled: ${result.cancelReason}")
            if (!closed.get()) result.events.forEach(::pass)
        }
    }

    private fun pass(event: WatchEvent) {
        val value = if (event.isDeletion) null else decode(event.kv.value)
        listener.onChange(decode(event.kv.key), value, event.kv.modRevision)
    }

    private fun failure(reason: String): StoreError {
        val sent = call.request().tag(SendMark::class.java)?.sent != false
        return if (sent) {
            StoreError.AnswerLost(STEP, address, reason)
        } else {
            StoreError.NotSent(STEP, address, reason)
        }
    }

    companion object {
        private const val STEP = "store-watch"
    }
}
