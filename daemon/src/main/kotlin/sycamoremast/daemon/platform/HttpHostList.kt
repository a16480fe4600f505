/**
 * The platform's list of hosts, read over HTTP as a JSON list.
 *
 * If the response body is unchanged, it is not parsed again and the same list object is returned.
 */
package sycamoremast.daemon.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import okhttp3.OkHttpClient
import sycamoremast.coordination.HostList
import sycamoremast.coordination.HostListError
import sycamoremast.coordination.ListedHost

/** Reads the list of hosts from the service at [address]. */
class HttpHostList internal constructor(private val address: String, http: OkHttpClient) :
    HostList {
    private val client = JsonClient(address, http)

    @Volatile
    private var cached = CachedList("", emptyList())

    override fun hosts(): Either<HostListError, List<ListedHost>> =
        when (val result = client.get("/hosts")) {
            is CallResult.NotSent -> failed(result.reason)
            is CallResult.AnswerLost -> failed(result.reason)
            is CallResult.Answered -> decode(result)
        }

    private fun decode(response: CallResult.Answered): Either<HostListError, List<ListedHost>> {
        if (response.status != STATUS_OK) return failed("status ${response.status}")
        if (response.body == cached.body) return cached.hosts.right()
        return try {
            val hosts = platformJson.decodeFromString<List<ListedHost>>(response.body)
            cached = CachedList(response.body, hosts)
            hosts.right()
        } catch (e: SerializationException) {
            failed("not understood: ${e.message}")
        }
    }

    private fun failed(reason: String) = HostListError("host-list", address, reason).left()

    /** The [body] of the last valid response and the [hosts] parsed from it. */
    private data class CachedList(val body: String, val hosts: List<ListedHost>)

    companion object {
        private const val STATUS_OK = 200

        /** Returns the list of hosts at [address], an IP address with a port. */
        fun at(address: String, http: OkHttpClient) = HttpHostList(address, http)
    }
}
