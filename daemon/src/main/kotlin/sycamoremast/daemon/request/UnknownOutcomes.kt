/** Reports requests whose outcome is unknown and which must not be repeated. */
package sycamoremast.daemon.request

import java.util.concurrent.ConcurrentHashMap
import sycamoremast.coordination.request.RequestFailure
import sycamoremast.daemon.control.ProblemKind
import sycamoremast.daemon.control.ProblemReporter

/** Raises one problem a service, and clears it once no more such outcomes have been seen. */
internal class UnknownOutcomes(
    private val problems: ProblemReporter,
    private val nowMillis: () -> Double
) {
    private val lastSeenMillis = ConcurrentHashMap<String, Double>()

    /** Takes note that the outcome of [request] is unknown. */
    fun seen(request: CallerRequest, failure: RequestFailure) {
        val isFirst = lastSeenMillis.put(request.service, nowMillis()) == null
        if (!isFirst) return
        val evidence = "request ${request.id} to ${request.path.substringBefore('?')}: " +
            "${failure.reason} (step=${failure.step} peer=${failure.peer})"
        problems.raise(ProblemKind.UNKNOWN, subject(request.service), evidence)
    }

    /** Clears the problems of services that have had no such outcome for a while. */
    fun tick() {
        val before = nowMillis() - CLEAR_MILLIS
        for ((service, seen) in lastSeenMillis) {
            if (seen < before && lastSeenMillis.remove(service, seen)) {
                problems.clear(ProblemKind.UNKNOWN, subject(service))
            }
        }
    }

    private fun subject(service: String) = "requests of $service"

    private companion object {
        const val CLEAR_MILLIS = 300_000.0
    }
}
