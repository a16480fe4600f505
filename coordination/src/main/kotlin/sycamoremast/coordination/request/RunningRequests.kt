/** The requests of one service that hold a slot. */
package sycamoremast.coordination.request

/** Keeps when each request began; not safe for use by several threads at once. */
internal class RunningRequests {
    private class Running(
        var request: WaitingRequest,
        val startedMillis: Double,
        var overdueAtMillis: Double
    )

    private val running = linkedMapOf<Long, Running>()
    private var checkedAtMillis = 0.0

    /** Long requests that run. */
    var longCount = 0
        private set

    /** Short requests that run. */
    val shortCount: Int get() = running.size - longCount

    fun add(request: WaitingRequest, nowMillis: Double) {
        val overdue = nowMillis + OVERDUE_FACTOR * request.highMillis
        running[request.number] = Running(request, nowMillis, overdue)
        if (request.isLong) longCount++
    }

    fun remove(number: Long): WaitingRequest? {
        val removed = running.remove(number)?.request ?: return null
        if (removed.isLong) longCount--
        return removed
    }

    /** Calls [reconsider] for each request that runs for longer than expected, now and then. */
    fun overdue(nowMillis: Double, reconsider: (WaitingRequest, Double) -> WaitingRequest) {
        if (nowMillis < checkedAtMillis + CHECK_MILLIS) return
        checkedAtMillis = nowMillis
        for (entry in running.values.filter { it.overdueAtMillis < nowMillis }) {
            val ran = nowMillis - entry.startedMillis
            entry.overdueAtMillis = entry.startedMillis + OVERDUE_FACTOR * ran
            replace(entry, reconsider(entry.request, ran))
        }
    }

    private fun replace(entry: Running, request: WaitingRequest) {
        if (entry.request.isLong) longCount--
        if (request.isLong) longCount++
        entry.request = request
    }

    private companion object {
        const val OVERDUE_FACTOR = 2.0
        const val CHECK_MILLIS = 20.0
    }
}
