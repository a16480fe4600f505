/** Helpers shared by the tests of the platform's clients. */
package sycamoremast.daemon.platform

import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit.SECONDS
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import okhttp3.OkHttpClient
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.WatchListener

internal fun testClient(): OkHttpClient =
    platformHttpClient(PlatformTimeouts(call = 800.milliseconds, connect = 500.milliseconds))

internal val testWatchIdleTimeout = 10.seconds

/** Returns a loopback address on which nothing listens. */
internal fun closedAddress(): String = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

/** A recorded call of a watch listener. */
internal sealed interface WatchCall {
    data class Change(val key: String, val value: String?, val revision: Long) : WatchCall

    data class End(val error: StoreError?) : WatchCall
}

/** Records the calls of a watch. */
internal class RecordingListener : WatchListener {
    private val calls = LinkedBlockingQueue<WatchCall>()

    override fun onChange(key: String, value: String?, revision: Long) {
        calls += WatchCall.Change(key, value, revision)
    }

    override fun onEnd(error: StoreError?) {
        calls += WatchCall.End(error)
    }

    fun next(): WatchCall = checkNotNull(calls.poll(10, SECONDS)) { "no call within 10 s" }

    fun hasNoCalls(): Boolean = calls.isEmpty()
}
