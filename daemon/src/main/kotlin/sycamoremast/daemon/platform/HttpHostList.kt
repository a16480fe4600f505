/**
 * The platform's list of hosts over HTTP, as a JSON list.
 *
 * A list whose text has not changed is not parsed again, and is then the same object as before.
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

/** The list of hosts at [address]. */
class HttpHostList internal constructor(private val address: String, http: OkHttpClient) :
    HostList {
    private val client = JsonClient(address, http)

    @Volatile
    private var last = ReadList("", emptyList())

    override fun hosts(): Either<HostListError, List<ListedHost>> =
        when (val result = client.get("/hosts")) {
            is CallResult.NotSent -> failed(result.reason)
            is CallResult.AnswerLost -> failed(result.reason)
            is CallResult.Answered -> decode(result)
        }

    private fun decode(answer: CallResult.Answered): Either<HostListError, List<ListedHost>> {
        if (answer.status != STATUS_OK) return failed("status ${answer.status}")
        if (answer.body == last.body) return last.hosts.right()
        return try {
            val hosts = platformJson.decodeFromString<List<ListedHost>>(answer.body)
            last = ReadList(answer.body, hosts)
            hosts.right()
        } catch (e: SerializationException) {
            failed("not understood: ${e.message}")
        }
    }

    private fun failed(reason: String) = HostListError("host-list", address, reason).left()

    /** An answer's [body] and the [hosts] in it. */
    private data class ReadList(val body: String, val hosts: List<ListedHost>)

    companion object {
        private const val STATUS_OK = 200

        /** Returns the list at [address], which is an IP number with a port. */
        fun at(address: String, http: OkHttpClient) = HttpHostList(address, http)
    }
}
