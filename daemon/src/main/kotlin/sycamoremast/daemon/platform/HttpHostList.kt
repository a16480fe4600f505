/** The platform's list of hosts over HTTP, as a JSON list. */
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

    override fun hosts(): Either<HostListError, List<ListedHost>> =
        when (val result = client.get("/hosts")) {
            is CallResult.NotSent -> failed(result.reason)
            is CallResult.AnswerLost -> failed(result.reason)
            is CallResult.Answered -> decode(result)
        }

    private fun decode(answer: CallResult.Answered): Either<HostListError, List<ListedHost>> {
        if (answer.status != STATUS_OK) return failed("status ${answer.status}")
        return try {
            platformJson.decodeFromString<List<ListedHost>>(answer.body).right()
        } catch (e: SerializationException) {
            failed("not understood: ${e.message}")
        }
    }

    private fun failed(reason: String) = HostListError("host-list", address, reason).left()

    companion object {
        private const val STATUS_OK = 200

        /** Returns the list at [address], which is an IP number with a port. */
        fun at(address: String, http: OkHttpClient) = HttpHostList(address, http)
    }
}
