/** A worker as the owner knows it: its capacity, runs, lease and reported ends of runs. */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

/** A [placement] that was removed from its worker at [atMillis]. */
internal data class Departure(val placement: Placement, val atMillis: Long)

/** One incarnation of a worker. */
internal class FleetWorker(listing: WorkerListing, listedMillis: Long) {
    val ref: WorkerRef = listing.ref
    var listing = listing
        private set
    var isListed = true
        private set

    /** When an entry was last read that the worker had written since the one before. */
    var listedMillis = listedMillis
        private set
    val placements = LinkedHashMap<TaskName, Placement>()
    val id: String get() = ref.id

    /** What orders carry so that the worker rejects those of earlier owners and incarnations. */
    var fencingToken = 0L

    /** Which incarnation answers, as far as this owner knows. */
    val incarnation = WorkerIncarnation()

    /** When the incarnation started that rejects stray orders, or null if that is unknown. */
    val introducedStartUnixMillis: Long?
        get() = incarnation.startedUnixMillis.takeIf { isIntroduced }

    /** Whether the worker has restarted and the new incarnation has not been introduced yet. */
    var isIntroductionDue = false

    /** Whether no durable roster tells of the leases of the present incarnation. */
    var isRestartUnrecorded = false

    /** Whether the durable roster names this worker; otherwise no task starts on it. */
    var isInRoster = false

    /**
     * Whether this incarnation has answered a poll with the present token, so that it rejects the
     * orders that were sent to earlier ones.
     */
    val isIntroduced: Boolean get() = incarnation.acceptedToken == fencingToken

    /**
     * Records that a durable roster names the worker, with the start of the incarnation that was
     * introduced when it was formed, [startedMillis].
     */
    fun onRosterDurable(startedMillis: Long?) {
        if (isRestartUnrecorded) {
            if (startedMillis == null || startedMillis != incarnation.startedUnixMillis) return
            isRestartUnrecorded = false
        }
        isInRoster = true
    }

    /**
     * Whether this owner knows all runs on the worker and has read the ends of those that earlier
     * owners ordered, or knows that none is left.
     */
    var isReconciled = false

    /** Whether this incarnation has answered a poll of this owner. */
    val hasReported: Boolean get() = acceptedMillis != null

    /** Whether neither a run nor an end can be unknown of what an earlier owner has ordered here. */
    val isAccountedFor: Boolean get() = isReconciled || (!hasReported && !lease.isInherited)

    /** Whether another incarnation answers at its address or its lease has certainly lapsed. */
    var isLost = false

    /** When the last poll was sent that this incarnation has answered, or null if there is none. */
    var acceptedMillis: Long? = null
        private set

    /** When the worker last showed what runs on it, or was first listed. */
    var lastShownMillis = listedMillis
        private set

    /** When this incarnation first reported, or null if it has not. */
    var upSinceMillis: Long? = null
        private set
    val lease = WorkerLease()

    /** The number of the last end of a run that the worker reported. */
    var seenEnd = 0L

    /** The number of the last end up to which all ends are durably recorded. */
    var recordedEnd = 0L

    /** The number of the last end that was acknowledged to the worker. */
    var acknowledgedEnd = 0L

    var isPolling = false

    /** Whether the open poll waits for the end of a run, so that its answer may take a while. */
    var isPollWaiting = false

    /** When the poll was sent that asks for the incarnation beside a waiting one, or null. */
    var introductionSentMillis: Long? = null

    /** Whether starts wait until the worker has shown which incarnation it is in. */
    var hasAwaitingStarts = false

    /** Whether the last poll extended no lease only because the incarnation was unknown. */
    var isLeaseWithheld = false

    /** Whether a report is needed although nothing runs on the worker. */
    var isReportDue = false
    var nextPollMillis = Long.MIN_VALUE
    var lastPollMillis = Long.MIN_VALUE / 2

    /** When the last poll that failed was sent. */
    var failedPollMillis = Long.MIN_VALUE
        private set

    /** When a poll last failed that was sent after the failure before. */
    private var pollFailureMillis = Long.MIN_VALUE
    var contactFailures = 0
        private set

    val bars = WorkerBars()

    /** The loss of contact since the last report, or null. */
    var loss: WorkerLoss? = null

    /** The run of a suspect beside which nothing else starts, or null. */
    var trial: Placement? = null
    var consecutiveFailures = 0

    /** Since when a serving task has exceeded its target beside neighbours, or null. */
    var overTargetSinceMillis: Long? = null

    /** Before this time, its serving tasks get no new neighbours that would slow them notably. */
    var noSharingBeforeMillis = Long.MIN_VALUE

    val commitments = Commitments()
    var servingMilliCpus = 0L
        private set
    var servingCount = 0
        private set

    /**
     * The runs in the last report that belong to no task of an open workflow.
     *
     * They take room until they have ended, but nothing tells how much.
     */
    var unknownRuns: Set<TaskName> = emptySet()

    /** The room that is reserved for tasks that will start here. */
    val reservations = RoomReservations(this)

    /** The tasks that have room reserved here for their next run. */
    val expectedTasks: Set<OpenTask> get() = reservations.tasks
    val capacity: Resources get() = listing.capacity

    /** The CPU that the runs share: its capacity, or the last one listed above 0. */
    var sharedMilliCpus = listing.capacity.milliCpus
        private set

    /** Whether the platform has listed the worker with any CPU since this owner began. */
    val isCapacityKnown: Boolean get() = sharedMilliCpus > 0

    /** Recently removed runs on idle CPU, which readings of tail latency may still cover. */
    val departures = ArrayList<Departure>()

    private var cachedView: ColocationView? = null
    private var cachedEndingDemand: Resources? = null

    /** The runs that share the worker now. */
    val colocation: ColocationView get() = cachedView
        ?: ColocationView.of(this).also { cachedView = it }

    fun updateListing(changed: WorkerListing, nowMillis: Long) {
        if (changed.revision > listing.revision) listedMillis = nowMillis
        listing = changed
        isListed = true
        if (capacity.milliCpus > 0) sharedMilliCpus = capacity.milliCpus
        cachedView = null
        reservations.cancelUnfit()
    }

    fun unlist() {
        isListed = false
    }

    /**
     * Records the clock that a report shows; other answers don't tell whose clock they show.
     *
     * A new clock counts once stray orders can't reach its incarnation any more, so that a heartbeat
     * that was formed when the clock was known comes after all stray leases.
     */
    fun recordAnswer(clockMillis: Long, receivedMillis: Long) {
        if (isIntroduced || !isIntroductionDue) lease.recordClock(clockMillis, receivedMillis)
        recordContact()
    }

    fun recordContact() {
        contactFailures = 0
    }

    /**
     * Whether the lease of an unreachable worker has lapsed and a poll sent after that has failed.
     *
     * A worker that becomes reachable just then can report ends of runs, whose tasks would
     * otherwise run again.
     */
    fun hasCertainlyLapsed(nowMillis: Long): Boolean = contactFailures > 0 &&
        nowMillis > lease.lapsedByMillis &&
        failedPollMillis > lease.lapsedByMillis

    /** Whether the poll that [hasCertainlyLapsed] requires has not been sent yet. */
    fun isFinalPollDue(nowMillis: Long): Boolean = contactFailures > 0 &&
        nowMillis > lease.lapsedByMillis &&
        lastPollMillis <= lease.lapsedByMillis

    /** Whether repeated calls have failed, so that no lease is granted for the present. */
    val isSilent: Boolean get() = contactFailures >= SILENT_FAILURES

    /** Whether no lease is granted for the present, as it has not answered yet or stopped to. */
    val isWithoutContact: Boolean get() = isSilent || lease.isInherited

    fun recordContactFailure() {
        contactFailures++
        forgetIncarnation()
    }

    /**
     * Records that a poll sent at [sentMillis] has failed; returns whether that is a new failure.
     *
     * One fault may end two polls that are open at the same time.
     */
    fun recordPollFailure(sentMillis: Long, nowMillis: Long): Boolean {
        failedPollMillis = maxOf(failedPollMillis, sentMillis)
        val isNew = contactFailures == 0 || sentMillis > pollFailureMillis
        if (isNew) {
            pollFailureMillis = nowMillis
            recordContactFailure()
        }
        return isNew
    }

    /** Records that the worker may have restarted: acknowledgements must be sent again. */
    fun forgetIncarnation() {
        incarnation.doubt()
        acknowledgedEnd = 0
    }

    /** Records a report that was processed at [nowMillis] and answers a poll sent at [sentMillis]. */
    fun recordReport(sentMillis: Long, nowMillis: Long) {
        incarnation.recordReport(nowMillis)
        acceptedMillis = maxOf(sentMillis, acceptedMillis ?: sentMillis)
        lastShownMillis = nowMillis
        if (upSinceMillis == null) upSinceMillis = nowMillis
    }

    /** Whether it has been up for a while, so that it is not one that crashes by itself. */
    fun isSettled(nowMillis: Long): Boolean =
        upSinceMillis?.let { nowMillis - it >= SETTLED_MILLIS } ?: false

    /** Whether a report has just come, or a poll is open that would fail if the worker crashed. */
    fun isCertainlyUp(nowMillis: Long): Boolean = contactFailures == 0 &&
        ((isPolling && !incarnation.isInDoubt) || incarnation.isKnown(nowMillis))

    /** Whether another incarnation than the present one wrote the entry: its kind may differ. */
    val isListingOutdated: Boolean
        get() = incarnation.isOther(listing.startedUnixMillis)

    /** Resets the end numbers, which a restarted worker counts from 1 again. */
    fun resetAfterRestart() {
        lease.forgetClock()
        incarnation.forgetToken()
        acceptedMillis = null
        upSinceMillis = null
        seenEnd = 0
        recordedEnd = 0
        acknowledgedEnd = 0
        isReconciled = true
    }

    /** Accounts for room that was reserved for a task of [spec]. */
    fun onReserved(spec: WorkflowStep) {
        cachedView = null
        commitments.add(spec)
    }

    /** Accounts for room that is no longer reserved for a task of [spec]. */
    fun onReservationCancelled(spec: WorkflowStep) {
        cachedView = null
        commitments.remove(spec)
    }

    /** The room that tasks take which end soon: short ones, and those told to stop. */
    val endingTaskDemand: Resources get() = cachedEndingDemand
        ?: demand { it.isLeaving || !it.task.step.spec.isLongRunning }
            .also { cachedEndingDemand = it }

    /** Returns the room that the runs take which match [predicate]. */
    fun demand(predicate: (Placement) -> Boolean): Resources = placements.values.filter(predicate)
        .fold(Resources.NONE) { sum, placement -> sum + placement.task.step.spec.firmDemand }

    fun add(placement: Placement) {
        placements[placement.task.name] = placement
        cachedView = null
        cachedEndingDemand = null
        commitments.add(placement.task.step.spec, placement.pacePercent)
        countServing(placement.task.step.spec, 1)
    }

    fun remove(placement: Placement, nowMillis: Long) {
        if (placements[placement.task.name] !== placement) return
        if (trial === placement) trial = null
        if (placement.task.step.spec.usesIdleCpu) {
            departures.removeAll { it.atMillis < nowMillis - DEPARTURE_RETENTION_MILLIS }
            departures += Departure(placement, nowMillis)
        }
        placements -= placement.task.name
        cachedView = null
        cachedEndingDemand = null
        commitments.remove(placement.task.step.spec, placement.pacePercent)
        countServing(placement.task.step.spec, -1)
    }

    /** Accounts for a change of the phase of a run. */
    fun onPhaseChanged() {
        cachedEndingDemand = null
    }

    /** Accounts for a change of the pace of [placement] to [percent]. */
    fun updatePace(placement: Placement, percent: Int) {
        if (placements[placement.task.name] !== placement) return
        if (!placement.task.step.spec.usesIdleCpu) return
        cachedView = null
        commitments.remove(placement.task.step.spec, placement.pacePercent)
        commitments.add(placement.task.step.spec, percent)
    }

    private fun countServing(spec: WorkflowStep, sign: Int) {
        if (!spec.isServing) return
        servingCount += sign
        servingMilliCpus += sign * spec.demand.milliCpus
    }

    private companion object {
        /** Several times as long as a trial usually takes. */
        const val SETTLED_MILLIS = 3_000L

        /** A single call fails now and then. */
        const val SILENT_FAILURES = 2

        /** Longer than the time that any reading covers. */
        const val DEPARTURE_RETENTION_MILLIS = 1_000L
    }
}
