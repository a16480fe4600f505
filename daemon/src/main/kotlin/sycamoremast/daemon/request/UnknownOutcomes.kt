/** Reports requests with an unknown outcome that must not be repeated. */
package sycamoremast.daemon.request

import java.util.concurrent.ConcurrentHashMap
import sycamoremast.coordination.request.RequestFailure
import sycamoremast.daemon.control.ProblemKind
import sycamoremast.daemon.control.ProblemReporter

/** Raises one problem per service; clears it after [CLEAR_AFTER_MILLIS] without such outcomes. */
internal class UnknownOutcomes(
    private val problems: ProblemReporter,
    private val nowMillis: () -> Double
) {
    private val lastSeenMillis = ConcurrentHashMap<String, Double>()

    /** Records that the outcome of [request] is unknown because of [failure]. */
    fun record(request: CallerRequest, failure: RequestFailure) {
        val isFirst = lastSeenMillis.put(request.service, nowMillis()) == null
        if (!isFirst) return
        val evidence = "request ${request.id} to ${request.path.substringBefore('?')}: " +
            "${failure.reason} (step=${failure.step} peer=${failure.peer})"
        problems.raise(ProblemKind.UNKNOWN, subject(request.service), evidence)
    }

    /** Clears the problems of services without unknown outcomes for [CLEAR_AFTER_MILLIS]. */
    fun tick() {
        val before = nowMillis() - CLEAR_AFTER_MILLIS
        for ((service, lastSeen) in lastSeenMillis) {
            if (lastSeen < before && lastSeenMillis.remove(service, lastSeen)) {
                problems.clear(ProblemKind.UNKNOWN, subject(service))
            }
        }
    }

    private fun subject(service: String) = "requests of $service"

    private companion object {
        const val CLEAR_AFTER_MILLIS = 300_000.0
    }
}
