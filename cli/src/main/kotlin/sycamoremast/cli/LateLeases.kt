/**
 * Finds out from hosts' logs until when leases of workers that restarted may have lasted.
 *
 * A start that was on its way to a worker while it restarted may have been carried out by the next
 * incarnation, whose clock may be far behind. The lease then is the longest that a worker accepts,
 * from when the owner learns of the restart at the latest: its next call shuts earlier ones out.
 */
package sycamoremast.cli

/** A lease that lasts until [endSeconds] at most, for which [lateStarts] starts are the reason. */
internal data class LateLease(val endSeconds: Double, val lateStarts: Int)

/** The leases of workers that accept none longer than [longestLeaseSeconds] by their own clocks. */
internal class LateLeases(events: List<HostEvent>, private val longestLeaseSeconds: Double) {
    private data class Start(val task: String, val run: Int, val worker: String)

    private class Worker {
        /** The starts since the last report, with their times. */
        val starts = HashMap<Start, Double>()

        /** The starts that were on their way when it restarted. */
        var lateStarts = emptySet<Start>()
        var lease: LateLease? = null

        /** Until when its owner took its lease to last, as it told at [bookedSeconds]. */
        var bookedUntilSeconds = Double.NEGATIVE_INFINITY
        var bookedSeconds = Double.NEGATIVE_INFINITY
    }

    private val workers = HashMap<String, Worker>()
    private val unansweredSeconds = HashMap<Start, Double>()

    /** The starts that can't have granted a lease. */
    private val leaseless = HashSet<Start>()

    init {
        for (event in events) {
            when (event.name) {
                "start-unanswered" -> unansweredSeconds[start(event)] = event.seconds
                "start-rejected" ->
                    if (event.line.field("reason") !in GRANTING) leaseless += start(event)
            }
        }
    }

    /** Returns the lease that an earlier incarnation's start may have left on [worker], or null. */
    fun of(worker: String): LateLease? = workers[worker]?.lease

    /** Returns whether run [run] of [task] may be one of the incarnation that [worker] has now. */
    fun mayHaveBegunLate(task: String, run: Int, worker: String): Boolean =
        Start(task, run, worker) in workers[worker]?.lateStarts.orEmpty()

    /** Takes [event] into account, which is later than those before. */
    fun process(event: HostEvent) {
        when (event.name) {
            "run-ordered" -> onOrdered(event)
            "worker-restarted" -> onRestarted(worker(event.id), event)
            "worker-introduced" -> onIntroduced(worker(event.id), event)
            in REPORTS -> onReported(worker(event.worker), event.seconds)
        }
    }

    private fun onOrdered(event: HostEvent) {
        val start = start(event)
        if (start !in leaseless) worker(event.worker).starts[start] = event.seconds
    }

    private fun onRestarted(worker: Worker, event: HostEvent) {
        val sinceMillis = event.line.field("sinceReportMillis").toLongOrNull()
        if (sinceMillis != null) onReported(worker, event.seconds - sinceMillis / MILLIS)
        val bookedUntilSeconds = worker.bookedUntilSeconds.takeIf {
            event.seconds - worker.bookedSeconds < SAME_REPORT_SECONDS
        }
        worker.lateStarts = worker.starts.keys.toSet()
        worker.starts.clear()
        val lateSeconds = (event.seconds + longestLeaseSeconds * SLOWEST_CLOCK)
            .takeIf { worker.lateStarts.isNotEmpty() }
        worker.lease = listOfNotNull(bookedUntilSeconds, lateSeconds).maxOrNull()
            ?.let { LateLease(it, worker.lateStarts.size) }
    }

    /** The owner tells how long it takes the lease to last. */
    private fun onIntroduced(worker: Worker, event: HostEvent) {
        val leftMillis = event.line.field("leaseLeftMillis").toLongOrNull() ?: return
        worker.bookedUntilSeconds = event.seconds + leftMillis / MILLIS
        worker.bookedSeconds = event.seconds
        val endSeconds = listOfNotNull(worker.lease?.endSeconds, worker.bookedUntilSeconds).max()
        worker.lease = LateLease(endSeconds, worker.lateStarts.size)
    }

    /** Starts that went out before a report reached the incarnation that it is of. */
    private fun onReported(worker: Worker, seconds: Double) {
        worker.starts.entries.removeIf { (start, sentSeconds) ->
            sentSeconds <= seconds &&
                (unansweredSeconds[start] ?: Double.NEGATIVE_INFINITY) <= seconds
        }
    }

    private fun worker(id: String) = workers.getOrPut(id) { Worker() }

    private fun start(event: HostEvent) = Start(event.id, event.run, event.worker)

    private companion object {
        /** How many seconds of time a worker's clock may take for one of its own. */
        const val SLOWEST_CLOCK = 1.02
        const val MILLIS = 1e3

        /** Lines about one report of a worker are written within this time. */
        const val SAME_REPORT_SECONDS = 0.1

        /** Lines about what a worker reports. */
        val REPORTS = setOf("run-ended", "run-adopted", "run-vanished")

        /** Why workers reject starts whose lease they accept. */
        val GRANTING = setOf("NO_ROOM", "STALE_RUN")
    }
}
