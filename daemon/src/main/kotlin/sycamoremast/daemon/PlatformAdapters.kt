/** Access to the platform's services, shared by the parts of a daemon. */
package sycamoremast.daemon

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import okhttp3.OkHttpClient
import sycamoremast.coordination.HostList
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.WorkerPort
import sycamoremast.daemon.platform.HttpHostList
import sycamoremast.daemon.platform.HttpKeyValueStore
import sycamoremast.daemon.platform.HttpWorkerPort
import sycamoremast.daemon.platform.PlatformTimeouts
import sycamoremast.daemon.platform.platformHttpClient
import sycamoremast.daemon.settings.DaemonSettings

/** Adapters to the platform's services, which share the threads of one HTTP client. */
internal class PlatformAdapters private constructor(
    private val http: OkHttpClient,
    val store: KeyValueStore,
    val hostList: HostList
) {
    /** Returns the adapter to the worker on [host]. */
    fun worker(host: ListedHost): WorkerPort = HttpWorkerPort.at(host.address, http)

    companion object {
        private val WATCH_IDLE_TIMEOUT = 60.seconds

        /** Returns adapters with the addresses and timeouts of [settings]. */
        fun from(settings: DaemonSettings): PlatformAdapters {
            val call = settings.keyValue.timeoutMillis.milliseconds
            val http = platformHttpClient(PlatformTimeouts(call = call, connect = call))
            val storeAddress = settings.keyValue.address.toString()
            return PlatformAdapters(
                http = http,
                store = HttpKeyValueStore.at(storeAddress, http, WATCH_IDLE_TIMEOUT),
                hostList = HttpHostList.at(settings.hostList.address.toString(), http)
            )
        }
    }
}
