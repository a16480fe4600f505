/** A worker as the owner knows it: its capacity, runs, lease and reported ends of runs. */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

/** A [placement] that was removed from its worker at [atMillis]. */
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

    /** Whether the durable roster names this worker; otherwise no task starts on it. */
    var isInRoster = false

    /** Whether this owner knows all runs on the worker, or knows that none is left. */
    var isReconciled = false

    /** Whether another incarnation answers at its address or its lease has certainly lapsed. */
    var isLost = false
    private var clockOffsetMillis: Long? = null
    private var clockReadMillis = 0L
    private var startedUnixMillis: Long? = null

    /** When the last report was processed, or null if a call has failed since. */
    private var lastReportMillis: Long? = null

    /** The time by which the last lease granted to the worker has certainly lapsed. */
    var lapsedByMillis = Long.MIN_VALUE
        private set

    /** The limit of leases of earlier owners, until the first report to this owner. */
    var inheritedLease: InheritedLease? = null

    /** The number of the last end of a run that the worker reported. */
    var seenEnd = 0L

    /** The number of the last end up to which all ends are durably recorded. */
    var recordedEnd = 0L

    /** The number of the last end that was acknowledged to the worker. */
    var acknowledgedEnd = 0L

    var isPolling = false
    var nextPollMillis = Long.MIN_VALUE
    var lastPollMillis = Long.MIN_VALUE / 2

    /** When the last poll that failed was sent. */
    var failedPollMillis = Long.MIN_VALUE
    var contactFailures = 0
        private set
    var noStartsBeforeMillis = Long.MIN_VALUE
    var consecutiveFailures = 0

    /** Since when a serving task has exceeded its target beside neighbours, or null. */
    var overTargetSinceMillis: Long? = null

    /** Before this time, its serving tasks get no new neighbours that would slow them notably. */
    var noSharingBeforeMillis = Long.MIN_VALUE

    /** CPU demand of the runs that count against the capacity. */
    var reservedMilliCpus = 0L
        private set

    /** CPU demand, scaled by pace, of the runs that use idle CPU and don't count against it. */
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

    /** Tasks that will move here, with the times by which they have to start. */
    private val reservations = LinkedHashMap<OpenTask, Long>()

    /** The tasks that have room reserved here for their next run. */
    val expectedTasks: Set<OpenTask> get() = reservations.keys
    val capacity: Resources get() = listing.capacity

    /** Whether the platform has listed the worker since this owner began. */
    val isCapacityKnown: Boolean get() = capacity.milliCpus > 0

    /** Whether the offset of its clock is known, without which no lease can be granted. */
    val hasClockOffset: Boolean get() = clockOffsetMillis != null

    /** Recently removed runs on idle CPU, which readings of tail latency may still cover. */
    val departures = ArrayList<Departure>()

    private var cachedView: ColocationView? = null

    /** The runs that share the worker now. */
    val colocation: ColocationView get() = cachedView
        ?: ColocationView.of(this).also { cachedView = it }

    fun updateListing(changed: WorkerListing) {
        listing = changed
        isListed = true
        cachedView = null
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

    /** Returns the end of a lease granted now, on the worker's clock, or null if unknown. */
    fun leaseEndOrNull(nowMillis: Long, settings: SchedulerSettings): Long? =
        clockOffsetMillis?.let {
            val lease = settings.leaseMillis(listing.isDraining)
            nowMillis + it + lease - settings.maxDrift(nowMillis - clockReadMillis)
        }

    fun recordLease(lapsedBy: Long) {
        lapsedByMillis = maxOf(lapsedByMillis, lapsedBy)
    }

    /**
     * Records the first answer to this owner, from which on the worker rejects orders of earlier
     * ones: their leases have lapsed by [lapsedBy].
     */
    fun recordFenced(lapsedBy: Long) {
        lapsedByMillis = minOf(lapsedByMillis, lapsedBy)
    }

    /** Returns the longest time that the last lease may still be valid. */
    fun remainingLeaseMillis(nowMillis: Long): Long = maxOf(lapsedByMillis, nowMillis) - nowMillis

    fun recordAnswer(clockMillis: Long, receivedMillis: Long) {
        clockOffsetMillis = clockMillis - receivedMillis
        clockReadMillis = receivedMillis
        contactFailures = 0
    }

    /**
     * Whether the lease of an unreachable worker has lapsed and a poll sent after that has failed.
     *
     * A worker that becomes reachable just then can report ends of runs, whose tasks would
     * otherwise run again.
     */
    fun hasCertainlyLapsed(nowMillis: Long): Boolean = contactFailures > 0 &&
        nowMillis > lapsedByMillis &&
        failedPollMillis > lapsedByMillis

    /** Whether the poll that [hasCertainlyLapsed] requires has not been sent yet. */
    fun isFinalPollDue(nowMillis: Long): Boolean = contactFailures > 0 &&
        nowMillis > lapsedByMillis &&
        lastPollMillis <= lapsedByMillis

    /** Whether repeated calls have failed, so that no lease is granted for the present. */
    val isSilent: Boolean get() = contactFailures >= SILENT_FAILURES

    /** Whether an earlier owner may have granted it a lease, and it has not answered this one. */
    val isInherited: Boolean get() = !isReconciled && lapsedByMillis > Long.MIN_VALUE

    /** Whether no lease is granted for the present, as it has not answered yet or stopped to. */
    val isWithoutContact: Boolean get() = isSilent || isInherited

    fun recordContactFailure() {
        contactFailures++
        forgetIncarnation()
    }

    /** Records that the worker may have restarted: acknowledgements must be sent again. */
    fun forgetIncarnation() {
        lastReportMillis = null
        acknowledgedEnd = 0
    }

    /** Records a report that was processed at [nowMillis]. */
    fun recordReport(nowMillis: Long) {
        lastReportMillis = nowMillis
        inheritedLease = null
    }

    /**
     * Whether the worker is certainly still in the incarnation of its last report.
     *
     * A worker that restarts under its ID numbers the ends of its runs from 1 again. If an end of
     * the earlier incarnation were acknowledged to it, it would discard ends that the owner has not
     * read. A restart during a poll makes the poll fail, so a restart goes unnoticed only between a
     * report and the next poll.
     */
    fun isIncarnationKnown(nowMillis: Long): Boolean =
        lastReportMillis?.let { nowMillis - it <= INCARNATION_PROOF_MILLIS } ?: false

    /**
     * Records the start time of the reporting incarnation; returns whether the worker restarted.
     */
    fun updateStartTime(startedMillis: Long?): Boolean {
        if (startedMillis == null) return false
        val previous = startedUnixMillis
        startedUnixMillis = startedMillis
        return previous != null && previous != startedMillis
    }

    /** Resets the end numbers, which a restarted worker counts from 1 again. */
    fun resetAfterRestart() {
        seenEnd = 0
        recordedEnd = 0
        acknowledgedEnd = 0
        isReconciled = true
    }

    /** Reserves room for the next run of [task], which has to start within a few seconds. */
    fun reserve(task: OpenTask, nowMillis: Long) {
        reservations[task] = nowMillis + RESERVATION_MILLIS
        task.destination = this
        commit(task.step.spec, Placement.FULL_PACE, 1)
    }

    /** Gives up the room reserved for [task]. */
    fun cancelReservation(task: OpenTask) {
        if (reservations.remove(task) == null) return
        task.destination = null
        commit(task.step.spec, Placement.FULL_PACE, -1)
    }

    /** Gives up the reservations whose tasks have ended or did not start in time. */
    fun expireReservations(nowMillis: Long) {
        if (reservations.isEmpty()) return
        reservations.filter { (task, untilMillis) ->
            nowMillis > untilMillis || !task.step.workflow.isOpen
        }.keys.forEach(::cancelReservation)
    }

    fun add(placement: Placement) {
        placements[placement.task.name] = placement
        commit(placement.task.step.spec, placement.pacePercent, 1)
        countServing(placement.task.step.spec, 1)
    }

    fun remove(placement: Placement, nowMillis: Long) {
        if (placements[placement.task.name] !== placement) return
        if (placement.task.step.spec.usesIdleCpu) {
            departures.removeAll { it.atMillis < nowMillis - DEPARTURE_RETENTION_MILLIS }
            departures += Departure(placement, nowMillis)
        }
        placements -= placement.task.name
        commit(placement.task.step.spec, placement.pacePercent, -1)
        countServing(placement.task.step.spec, -1)
    }

    /** Accounts for a change of the pace of [placement] to [percent]. */
    fun updatePace(placement: Placement, percent: Int) {
        if (placements[placement.task.name] !== placement) return
        val spec = placement.task.step.spec
        if (!spec.usesIdleCpu) return
        cachedView = null
        opportunisticMilliCpus += spec.demand.milliCpus * percent / FULL_PERCENT -
            spec.demand.milliCpus * placement.pacePercent / FULL_PERCENT
    }

    private fun commit(spec: WorkflowStep, pacePercent: Int, sign: Int) {
        cachedView = null
        if (spec.usesIdleCpu) {
            opportunisticMilliCpus += sign * spec.demand.milliCpus * pacePercent / FULL_PERCENT
        } else {
            reservedMilliCpus += sign * spec.demand.milliCpus
        }
        committedMemoryMib += sign * spec.demand.memoryMib
        committedAccelerators += sign * spec.demand.accelerators
    }

    private fun countServing(spec: WorkflowStep, sign: Int) {
        if (!spec.isServing) return
        servingCount += sign
        servingMilliCpus += sign * spec.demand.milliCpus
    }

    private companion object {
        const val FULL_PERCENT = Placement.FULL_PACE

        /** Assumed to be too short for a restart followed by a complete run. */
        const val INCARNATION_PROOF_MILLIS = 200L

        /** A single call fails now and then. */
        const val SILENT_FAILURES = 2

        /** Several times the longest stop; a move that takes longer has failed. */
        const val RESERVATION_MILLIS = 3_000L

        /** Longer than the time that any reading covers. */
        const val DEPARTURE_RETENTION_MILLIS = 1_000L
    }
}
