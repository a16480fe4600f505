/** The running requests of one service, each of which holds a slot. */
package sycamoremast.coordination.request

/** Tracks running requests and their start times; not safe for use by several threads at once. */
internal class RunningRequests {
    private class Entry(
        var request: WaitingRequest,
        val startedMillis: Double,
        var overdueAtMillis: Double
    )

    private val running = linkedMapOf<Long, Entry>()
    private var checkedAtMillis = 0.0

    /** The number of running long requests. */
    var longCount = 0
        private set

    /** The number of running short requests. */
    val shortCount: Int get() = running.size - longCount

    fun add(request: WaitingRequest, nowMillis: Double) {
        val overdueAtMillis = nowMillis + OVERDUE_FACTOR * request.p90Millis
        running[request.number] = Entry(request, nowMillis, overdueAtMillis)
        if (request.isLong) longCount++
    }

    fun remove(number: Long): WaitingRequest? {
        val request = running.remove(number)?.request ?: return null
        if (request.isLong) longCount--
        return request
    }

    /**
     * Replaces each overdue request by the result of [reclassify], which gets its run time so far.
     *
     * The check is skipped within [CHECK_MILLIS] of the last one. A request is overdue again once
     * its run time has grown by [OVERDUE_FACTOR].
     */
    fun updateOverdue(nowMillis: Double, reclassify: (WaitingRequest, Double) -> WaitingRequest) {
        if (nowMillis < checkedAtMillis + CHECK_MILLIS) return
        checkedAtMillis = nowMillis
        for (entry in running.values.filter { it.overdueAtMillis < nowMillis }) {
            val elapsedMillis = nowMillis - entry.startedMillis
            entry.overdueAtMillis = entry.startedMillis + OVERDUE_FACTOR * elapsedMillis
            replace(entry, reclassify(entry.request, elapsedMillis))
        }
    }

    private fun replace(entry: Entry, request: WaitingRequest) {
        if (entry.request.isLong) longCount--
        if (request.isLong) longCount++
        entry.request = request
    }

    private companion object {
        const val OVERDUE_FACTOR = 2.0
        const val CHECK_MILLIS = 20.0
    }
}
