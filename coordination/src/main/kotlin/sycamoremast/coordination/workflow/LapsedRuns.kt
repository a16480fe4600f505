/**
 * Counts long-running tasks whose runs have ended as their leases lapsed.
 *
 * The counts are logged at most once a second. A run that this owner doesn't know any more, or never
 * knew, lapsed before the owner's first report of its worker, mostly under an earlier owner.
 */
package sycamoremast.coordination.workflow

internal class LapsedRuns(private val fleet: Fleet) {
    private val workers = LinkedHashSet<String>()
    private var knownRuns = 0
    private var unknownRuns = 0
    private var nextLogMillis = Long.MIN_VALUE

    /** Counts a run on [worker]; [isKnown] tells whether this owner took it for running. */
    fun count(worker: FleetWorker, isKnown: Boolean) {
        workers += worker.id
        if (isKnown) knownRuns++ else unknownRuns++
    }

    /** Logs what was counted since the last line. */
    fun step(nowMillis: Long) {
        if (workers.isEmpty() || nowMillis < nextLogMillis) return
        nextLogMillis = nowMillis + LOG_INTERVAL_MILLIS
        fleet.log(
            "runs-lapsed",
            "epoch-${fleet.epoch}",
            "longRunningRuns" to knownRuns + unknownRuns,
            "unknownRuns" to unknownRuns,
            "workers" to workers.size,
            "first" to workers.take(MAX_NAMED).joinToString(",")
        )
        workers.clear()
        knownRuns = 0
        unknownRuns = 0
    }

    private companion object {
        const val LOG_INTERVAL_MILLIS = 1_000L
        const val MAX_NAMED = 4
    }
}
