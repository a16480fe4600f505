/**
 * The path of latency-critical requests through an entry host.
 *
 * A request at `/services/{service}/...` is forwarded to a backend server of that service. Its
 * caller gets one of three outcomes, named in the header `X-Outcome`: the complete response, the
 * assurance that the request was not run, or the information that its outcome is unknown.
 */
package sycamoremast.daemon.request

import io.micrometer.core.instrument.MeterRegistry
import kotlin.time.Duration
import org.http4k.core.HttpHandler
import sycamoremast.coordination.HostList
import sycamoremast.coordination.KeyValueStore
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.store.CallBudget
import sycamoremast.daemon.control.ConfigurationView
import sycamoremast.daemon.control.MembershipView
import sycamoremast.daemon.control.ProblemReporter
import sycamoremast.daemon.peer.PeerNetwork

/** The request path of one entry host. */
interface RequestPath : AutoCloseable {
    /** Handles callers' requests; it never throws. */
    val handler: HttpHandler

    /** Starts following the host list and the membership. */
    fun start()

    /** Returns the reasons why this host is not ready for requests; empty once it is. */
    fun notReadyBecause(): List<String>

    /** Starts a drain: requests in progress finish, new ones are refused after a grace period. */
    fun beginDrain()

    /** Waits up to [timeout] for all requests in progress to end, and returns whether they did. */
    fun awaitIdle(timeout: Duration): Boolean

    /** Returns the number of requests whose responses have not been sent completely. */
    fun inProgress(): Int
}

/** The parts of the daemon and of the platform that the request path depends on. */
data class RequestPathPorts(
    val configuration: ConfigurationView,
    val membership: MembershipView,
    val peers: PeerNetwork,
    val store: KeyValueStore,
    val hostList: HostList,
    val problems: ProblemReporter,
    val meters: MeterRegistry,
    val storeCalls: CallBudget = CallBudget(STORE_CALLS_PER_SECOND, STORE_CALL_BURST),
    val clock: MonotonicClock = MonotonicClock.system()
)

private const val STORE_CALLS_PER_SECOND = 100.0
private const val STORE_CALL_BURST = 200

/** Returns a request path that uses [ports]. */
fun requestPath(ports: RequestPathPorts, settings: RequestPathSettings): RequestPath =
    ForwardingRequestPath(ports, settings)
