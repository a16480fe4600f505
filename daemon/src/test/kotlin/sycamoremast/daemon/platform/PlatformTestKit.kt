/** What the tests of the adapters share. */
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

/** One call of a watch listener. */
internal sealed interface Seen {
    data class Change(val key: String, val value: String?, val revision: Long) : Seen

    data class End(val error: StoreError?) : Seen
}

internal class RecordingListener : WatchListener {
    private val seen = LinkedBlockingQueue<Seen>()

    override fun onChange(key: String, value: String?, revision: Long) {
        seen += Seen.Change(key, value, revision)
    }

    override fun onEnd(error: StoreError?) {
        seen += Seen.End(error)
    }

    fun next(): Seen = checkNotNull(seen.poll(10, SECONDS)) { "the watch saw nothing" }

    fun nothingYet(): Boolean = seen.isEmpty()
}
