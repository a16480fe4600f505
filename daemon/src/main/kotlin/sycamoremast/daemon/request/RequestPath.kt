/**
 * The path of latency-critical requests through an entry host.
 *
 * A request at `/services/{service}/...` is forwarded to a backend server of that service. Its
 * caller gets one of three outcomes, named in the header `X-Outcome`: the whole answer, a statement
 * that the request was not run, or a statement that its outcome is unknown.
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
    /** Answers callers' requests; it never throws. */
    val handler: HttpHandler

    /** Begins to follow the host list and the membership. */
    fun start()

    /** Returns why callers must not be sent here yet; empty once they may. */
    fun notReadyBecause(): List<String>

    /** Begins a graceful stop: requests in progress are finished, then new ones are refused. */
    fun beginDrain()

    /** Returns whether no request was in progress any more before [timeout] had passed. */
    fun awaitIdle(timeout: Duration): Boolean

    /** Returns the requests that have been received and not yet answered whole. */
    fun inProgress(): Int
}

/** What the request path needs of the rest of the daemon and of the platform. */
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

/** Returns the request path over [ports]. */
fun requestPath(ports: RequestPathPorts, settings: RequestPathSettings): RequestPath =
    ForwardingRequestPath(ports, settings)
