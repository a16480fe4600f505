/** The port to the platform's list of live and leaving hosts. */
package sycamoremast.coordination

import arrow.core.Either
import kotlinx.serialization.Serializable

/** Access to the platform's list of hosts. */
fun interface HostList {
    /** Returns the hosts as the platform last saw them; the list lags behind actual changes. */
    fun hosts(): Either<HostListError, List<ListedHost>>
}

/** The role of a listed host. */
@Serializable
enum class HostRole { WORKER, BACKEND_SERVER }

/** Whether a listed host may be given new work. */
@Serializable
enum class HostState { LIVE, LEAVING }

/**
 * A host on the platform's list.
 *
 * [address] is an IP address with a port. [service] names the service of a backend server and is
 * empty for a worker; [slots] and [connections] bound a backend server's use.
 */
@Serializable
data class ListedHost(
    val name: String,
    val address: String,
    val availabilityZone: String,
    val rack: String,
    val role: HostRole,
    val state: HostState,
    val service: String = "",
    val slots: Int = 0,
    val connections: Int = 0,
    val capacity: Resources = Resources.NONE
)

/** A failed read of the list, with the [step] and the [peer] at which it failed. */
data class HostListError(val step: String, val peer: String, val reason: String)
