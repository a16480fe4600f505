/**
 * Finds out from hosts' logs how long after the lease of its run before a task was started anew.
 *
 * An owner starts a task anew once it knows that the run before has ended, or once it presumes that
 * the worker's lease has lapsed, as it can't reach the worker or the run was an earlier owner's.
 * What it presumes is compared with the leases that starts for earlier incarnations may have left
 * ([LateLeases]). Restarts that no host noticed are not in the logs.
 */
package sycamoremast.cli

/** The gaps in [events] if workers accept no lease longer than [longestLeaseSeconds]. */
internal class LeaseGaps(events: List<HostEvent>, longestLeaseSeconds: Double) {
    private class OpenRun(val run: Int, val worker: String) {
        /** Whether an owner took it that the run would end, or had ended, with the lease. */
        var isPresumed = false
    }

    private val leases = LateLeases(events, longestLeaseSeconds)
    private val openRuns = HashMap<String, MutableList<OpenRun>>()
    private val gaps = ArrayList<LeaseGap>()

    /** The number of starts. */
    var startCount = 0
        private set

    /** The number of starts after a run on another worker whose end was presumed. */
    var presumingCount = 0
        private set

    /** The gaps after leases that late starts may have left, the shortest first. */
    val all: List<LeaseGap>

    init {
        events.forEach(::process)
        all = gaps.sortedBy { it.seconds }
    }

    private fun process(event: HostEvent) {
        leases.process(event)
        when (event.name) {
            "run-ordered" -> onOrdered(event)
            "run-adopted" -> onAdopted(event)
            "run-ended", "run-vanished", "start-rejected" -> onEnded(event)
            "worker-restarted" -> onRestarted(event)
            "worker-lost" -> onWorkerLost(event)
            "owner-began" -> openRuns.values.flatten().forEach { it.isPresumed = true }
        }
    }

    private fun onOrdered(event: HostEvent) {
        startCount++
        val runs = openRuns.getOrPut(event.id) { ArrayList() }
        // The owner knows that the others have ended.
        runs.removeIf { !it.isPresumed }
        val elsewhere = runs.filter { it.worker != event.worker }
        if (elsewhere.isNotEmpty()) presumingCount++
        gaps += listOfNotNull(
            elsewhere.mapNotNull { gapOrNull(event, it) }.minByOrNull { it.seconds }
        )
        runs += OpenRun(event.run, event.worker)
    }

    private fun gapOrNull(event: HostEvent, before: OpenRun): LeaseGap? {
        val lease = leases.of(before.worker) ?: return null
        return LeaseGap(
            event.id,
            event.run,
            event.worker,
            event.seconds,
            before.run,
            before.worker,
            lease.endSeconds,
            lease.lateStarts
        )
    }

    private fun onAdopted(event: HostEvent) {
        onEnded(event)
        openRuns.getOrPut(event.id) { ArrayList() } += OpenRun(event.run, event.worker)
    }

    private fun onEnded(event: HostEvent) {
        openRuns[event.id]?.removeIf { it.run == event.run && it.worker == event.worker }
    }

    /** Only runs whose starts were on their way may be running in the new incarnation. */
    private fun onRestarted(event: HostEvent) = openRuns.forEach { (task, runs) ->
        runs.removeIf {
            it.worker == event.id && !leases.mayHaveBegunLate(task, it.run, it.worker)
        }
    }

    private fun onWorkerLost(event: HostEvent) {
        val isCertain = event.line.field("reason") in CERTAIN_REASONS
        for (runs in openRuns.values) {
            if (isCertain) runs.removeIf { it.worker == event.id }
            runs.filter { it.worker == event.id }.forEach { it.isPresumed = true }
        }
    }

    private companion object {
        /** Why a worker is lost whose runs have certainly ended. */
        val CERTAIN_REASONS = setOf("other incarnation", "moved to another address")
    }
}
