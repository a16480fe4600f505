/**
 * The workers that still accept the orders of this owner.
 *
 * A worker rejects the orders of an owner once a later one has reached it. A heartbeat that isn't
 * durable counts only if a quorum of the workers in the last roster have accepted an order that was
 * sent after it. Once the others are no quorum, a successor thus knows that no later heartbeat
 * counts, without a word from any host.
 */
package sycamoremast.coordination.workflow

internal class AcceptingWorkers(private val fleet: Fleet) {
    /** The workers in the last durable roster, and those in one that may be durable. */
    private var recorded = emptySet<WorkerRef>()
    private var inRecord: Set<WorkerRef>? = null

    /** Records that a roster of [workers] is formed now. */
    fun onRosterFormed(workers: Set<WorkerRef>) {
        inRecord = workers
    }

    /** Records that the last roster formed is durable. */
    fun onRosterDurable() {
        recorded = inRecord.orEmpty()
        inRecord = null
    }

    /**
     * Returns the time after which a quorum has accepted an order, or null if it has not; a
     * heartbeat that was formed by then counts.
     */
    fun acceptedMillisOrNull(): Long? {
        val times = rosters().map { acceptedMillisOrNull(it) }
        return if (null in times) null else times.filterNotNull().min()
    }

    private fun acceptedMillisOrNull(roster: Set<WorkerRef>): Long? {
        if (roster.isEmpty()) return Long.MAX_VALUE
        val times = roster.mapNotNull { workerOrNull(it)?.acceptedMillis }.sortedDescending()
        return times.getOrNull(quorum(roster.size) - 1)
    }

    private fun rosters(): List<Set<WorkerRef>> = listOfNotNull(recorded, inRecord)

    /**
     * Returns the worker if it is in the incarnation that this owner knew at a durable heartbeat.
     *
     * A later one may have forgotten the orders of a successor.
     */
    private fun workerOrNull(ref: WorkerRef): FleetWorker? =
        fleet.workers[ref.id]?.takeIf { it.ref == ref && it.lease.isClockDurable }

    /** Asks idle workers for reports where those that are polled anyway are no quorum. */
    fun requestReports() {
        for (roster in rosters()) {
            val (busy, idle) = roster.mapNotNull(::workerOrNull)
                .filter { it.contactFailures == 0 }
                .partition { it.placements.isNotEmpty() }
            val missing = quorum(roster.size) - busy.size
            idle.take(maxOf(missing, 0)).forEach { it.isReportDue = true }
        }
    }

    companion object {
        /**
         * Returns how many of [workers] have to accept an order: three fifths, and a majority.
         *
         * In an outage of the store two fifths may be lost, so any zone of three. A successor is
         * sure once more than two fifths have answered.
         */
        fun quorum(workers: Int): Int = maxOf(
            majority(workers),
            (workers * QUORUM_FIFTHS + FIFTHS - 1) / FIFTHS
        )

        /** Returns how many of [workers] an owner of a version without quorums needs. */
        fun majority(workers: Int): Int = workers / 2 + 1

        private const val QUORUM_FIFTHS = 3
        private const val FIFTHS = 5
    }
}
