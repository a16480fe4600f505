/** A worker as the owner knows it: its room, its runs, its lease and its ends. */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

/** A [placement] that left its worker at [atMillis]. */
internal data class Departure(val placement: Placement, val atMillis: Long)

/** One incarnation of a worker. */
internal class FleetWorker(listing: WorkerListing) {
    val ref: WorkerRef = listing.ref
    var listing = listing
        private set
    var isListed = true
        private set
    val placements = LinkedHashMap<TaskName, Placement>()
    val id: String get() = ref.id

    /** Whether the durable roster names this worker, without which it gets no work. */
    var isInRoster = false

    /** Whether it has answered this owner, so that all that runs there is known. */
    var isReconciled = false

    /** Whether another incarnation answers at its address, or its lease surely lapsed. */
    var isLost = false
    private var clockOffsetMillis: Long? = null
    private var clockReadMillis = 0L
    private var startedUnixMillis: Long? = null

    /** When the last report was taken in, or null if a call has failed since. */
    private var lastReportMillis: Long? = null

    /** When the last lease given to it has certainly lapsed. */
    var lapsedByMillis = Long.MIN_VALUE
        private set
    var seenEnd = 0L
    var recordedEnd = 0L
    var acknowledgedEnd = 0L

    var isPolling = false
    var nextPollMillis = Long.MIN_VALUE
    var lastPollMillis = Long.MIN_VALUE / 2

    /** When the last poll without an answer was sent. */
    var failedPollMillis = Long.MIN_VALUE
    var contactFailures = 0
        private set
    var noStartsBeforeMillis = Long.MIN_VALUE
    var consecutiveFailures = 0

    /** Since when one of its serving tasks has been over its target. */
    var overTargetSinceMillis: Long? = null

    /** Until then its serving tasks get no new neighbours that they would notice. */
    var noSharingBeforeMillis = Long.MIN_VALUE

    /** Processors of the runs that count against the capacity, and of those that don't. */
    var reservedMilliCpus = 0L
        private set
    var opportunisticMilliCpus = 0L
        private set
    var committedMemoryMib = 0L
        private set
    var committedAccelerators = 0L
        private set
    var servingMilliCpus = 0L
        private set
    var servingCount = 0
        private set
    val capacity: Resources get() = listing.capacity

    /** Whether a reading of its clock is known, without which no lease can be given. */
    val hasClockOffset: Boolean get() = clockOffsetMillis != null

    /** Tasks on idle processors that left lately, which readings of tails may still cover. */
    val departures = ArrayList<Departure>()

    private var cachedView: ColocationView? = null

    /** Who shares the worker now. */
    val colocation: ColocationView get() = cachedView
        ?: ColocationView.of(this).also { cachedView = it }

    fun updateListing(changed: WorkerListing) {
        listing = changed
        isListed = true
    }

    fun unlist() {
        isListed = false
    }

    fun acceptsStarts(nowMillis: Long): Boolean = isListed &&
        !listing.isDraining &&
        isInRoster &&
        !isLost &&
        isReconciled &&
        clockOffsetMillis != null &&
        contactFailures == 0 &&
        nowMillis >= noStartsBeforeMillis

    /** Returns the reading of the worker's clock at which a lease given now ends, if known. */
    fun leaseEndOrNull(nowMillis: Long, settings: SchedulerSettings): Long? =
        clockOffsetMillis?.let {
            nowMillis + it + settings.leaseMillis -
                settings.maxClockLagMillis(nowMillis - clockReadMillis)
        }

    fun recordLease(lapsedBy: Long) {
        lapsedByMillis = maxOf(lapsedByMillis, lapsedBy)
    }

    /** Returns how long the last lease may still last. */
    fun remainingLeaseMillis(nowMillis: Long): Long = maxOf(lapsedByMillis, nowMillis) - nowMillis

    fun recordAnswer(clockMillis: Long, receivedMillis: Long) {
        clockOffsetMillis = clockMillis - receivedMillis
        clockReadMillis = receivedMillis
        contactFailures = 0
    }

    /**
     * Whether the worker is out of reach and has been asked in vain since its lease lapsed.
     *
     * One that is back just then lists ends of runs that would otherwise start again.
     */
    fun hasCertainlyLapsed(nowMillis: Long): Boolean = contactFailures > 0 &&
        nowMillis > lapsedByMillis &&
        failedPollMillis > lapsedByMillis

    /** Whether the poll that [hasCertainlyLapsed] asks for is still to be sent. */
    fun isFinalPollDue(nowMillis: Long): Boolean = contactFailures > 0 &&
        nowMillis > lapsedByMillis &&
        lastPollMillis <= lapsedByMillis

    fun recordContactFailure() {
        contactFailures++
        forgetIncarnation()
    }

    /** Notes that the worker may have restarted: what it was last told has to be told again. */
    fun forgetIncarnation() {
        lastReportMillis = null
        acknowledgedEnd = 0
    }

    /** Notes a report that was taken in at [nowMillis]. */
    fun recordReport(nowMillis: Long) {
        lastReportMillis = nowMillis
    }

    /**
     * Whether the worker surely is in the incarnation of its last report.
     *
     * A worker that restarts under its ID numbers its ends from 1 again; a number of its earlier
     * incarnation would make it forget ends that nobody has read. A restart under a poll fails that
     * poll, so it goes unnoticed only between a report and the next poll.
     */
    fun isIncarnationKnown(nowMillis: Long): Boolean =
        lastReportMillis?.let { nowMillis - it <= INCARNATION_PROOF_MILLIS } ?: false

    /** Notes the time of the worker's start; returns whether it has started anew. */
    fun updateStartTime(startedMillis: Long?): Boolean {
        if (startedMillis == null) return false
        val previous = startedUnixMillis
        startedUnixMillis = startedMillis
        return previous != null && previous != startedMillis
    }

    /** Takes in that the worker has restarted, with ends numbered from 1. */
    fun resetAfterRestart() {
        seenEnd = 0
        recordedEnd = 0
        acknowledgedEnd = 0
        isReconciled = true
    }

    fun add(placement: Placement) {
        placements[placement.task.name] = placement
        commit(placement, 1)
    }

    fun remove(placement: Placement, nowMillis: Long) {
        if (placements[placement.task.name] !== placement) return
        if (placement.task.step.spec.usesIdleCpu) {
            departures.removeAll { it.atMillis < nowMillis - DEPARTURE_RETENTION_MILLIS }
            departures += Departure(placement, nowMillis)
        }
        placements -= placement.task.name
        commit(placement, -1)
    }

    /** Counts the processors of [placement] at another pace. */
    fun updatePace(placement: Placement, percent: Int) {
        if (placements[placement.task.name] !== placement) return
        val spec = placement.task.step.spec
        if (!spec.usesIdleCpu) return
        cachedView = null
        opportunisticMilliCpus += spec.demand.milliCpus * percent / FULL_PERCENT -
            spec.demand.milliCpus * placement.pacePercent / FULL_PERCENT
    }

    private fun commit(placement: Placement, sign: Int) {
        cachedView = null
        val spec = placement.task.step.spec
        if (spec.usesIdleCpu) {
            opportunisticMilliCpus +=
                sign * spec.demand.milliCpus * placement.pacePercent / FULL_PERCENT
        } else {
            reservedMilliCpus += sign * spec.demand.milliCpus
        }
        committedMemoryMib += sign * spec.demand.memoryMib
        committedAccelerators += sign * spec.demand.accelerators
        if (spec.isServing) {
            servingCount += sign
            servingMilliCpus += sign * spec.demand.milliCpus
        }
    }

    private companion object {
        const val FULL_PERCENT = Placement.FULL_PACE

        /** Assumed to be too short for a restart and a whole run after it. */
        const val INCARNATION_PROOF_MILLIS = 200L

        /** Longer than any reading covers. */
        const val DEPARTURE_RETENTION_MILLIS = 1_000L
    }
}
