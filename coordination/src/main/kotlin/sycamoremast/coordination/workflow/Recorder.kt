/**
 * Decides what is written to the store and when.
 *
 * One batch is in flight at a time. The end of a run may be acknowledged to its worker once a batch
 * is durable that contains its workflow and was formed after the end was reported.
 *
 * Records of workflows that ended long ago are deleted by batches that are due anyway and have room
 * left, so that deletions cost few calls of the store and delay nothing. A batch of its own deletes
 * some only if there has been no other for a while.
 */
package sycamoremast.coordination.workflow

internal class Recorder(
    private val fleet: Fleet,
    private val tails: TailModel,
    private val standbys: Standbys
) {
    private val leases = LeaseLimiter(fleet)
    private val changed = LinkedHashSet<OpenWorkflow>()
    private val pendingEnds = LinkedHashMap<FleetWorker, ArrayDeque<PendingEnd>>()
    private var lastChange = 0L
    private var hasRosterChanged = true

    /** Whether the store may hold a roster of this owner. */
    var hasSentRoster = false
        private set
    private var firstStepMillis: Long? = null
    private var inFlight: BatchInFlight? = null
    private var lastBatchMillis = Long.MIN_VALUE / 2
    private var lastCountMillis = Long.MIN_VALUE / 2
    private var recordedWaiting: Map<String, Int>? = null
    private var newWaiting: Map<String, Int>? = null
    private var lastInterferenceMillis = Long.MIN_VALUE / 2
    private var recordedReadings = 0L
    private var newInterference: InterferenceRecord? = null
    private var lastHeartbeatMillis = Long.MIN_VALUE / 2

    /** The state of a workflow that a batch contains. */
    private class RecordedWorkflow(val workflow: OpenWorkflow) {
        val phase = workflow.phase
        val change = workflow.lastChange
    }

    /**
     * A batch with the time at which it was formed if it is a heartbeat, [heartbeatMillis]. Its
     * [roster] has the start times of the introduced incarnations.
     */
    private class BatchInFlight(
        val workflows: List<RecordedWorkflow>,
        val roster: Map<WorkerRef, Long?>?,
        val heartbeatMillis: Long?,
        val forgotten: List<EndedWorkflow>
    )

    /** End [number] of a worker, to be acknowledged once [change] of [workflow] is durable. */
    private class PendingEnd(val number: Long, val workflow: OpenWorkflow, val change: Long) {
        val isDurable: Boolean get() = workflow.durableChange >= change
    }

    /** Records a change of [workflow], unless its end is all that is left, which may be deleted. */
    fun markChanged(workflow: OpenWorkflow) {
        if (workflow.isRetired) return
        workflow.lastChange = ++lastChange
        changed += workflow
    }

    /** Marks [workflow] as begun once a start of a task is confirmed; an order is not enough. */
    fun markBegun(workflow: OpenWorkflow) {
        if (workflow.hasBegun || !workflow.isOpen) return
        workflow.begin()
        markChanged(workflow)
    }

    /** Sets the worker on which [task] may run, which counts once it is durable. */
    fun setPlace(task: OpenTask, worker: FleetWorker) {
        if (!task.hasRecordedPlace || task.place == worker.id) return
        markChanged(task.step.workflow)
        task.setPlace(worker.id, task.step.workflow.lastChange)
    }

    fun markRosterChanged() {
        hasRosterChanged = true
    }

    /** Tracks end [number] of [worker], of a run of [workflow] or of an unknown one if null. */
    fun trackEnd(worker: FleetWorker, number: Long, workflow: OpenWorkflow?) {
        val isDurable = workflow == null || workflow.durableChange >= workflow.lastChange
        val pending = pendingEnds[worker]
        when {
            workflow != null && !isDurable -> pendingEnds.getOrPut(worker) { ArrayDeque() }
                .addLast(PendingEnd(number, workflow, workflow.lastChange))

            pending == null -> worker.recordedEnd = number
        }
    }

    /** Drops the pending ends of an earlier incarnation of [worker]. */
    fun dropPendingEnds(worker: FleetWorker) {
        pendingEnds -= worker
    }

    /** Adds the next batch to the outbox if one is due. */
    fun step(nowMillis: Long, unixMillis: Long) {
        fleet.endedWorkflows.step(nowMillis)
        if (inFlight != null || isAwaitingAnswers(nowMillis)) return
        fleet.endedWorkflows.logFieldsOrNull(nowMillis)
            ?.let { fleet.log("records-forgotten", "epoch-${fleet.epoch}", *it) }
        updateWaitingCounts(nowMillis)
        updateInterference(nowMillis, unixMillis)
        if (leases.isRecordDue(nowMillis) || standbys.isRecordDue) hasRosterChanged = true
        val isUnchanged = changed.isEmpty() && !hasRosterChanged && newWaiting == null
        val isIdle = isUnchanged && newInterference == null && !isHeartbeatDue(nowMillis)
        if (isIdle && !isForgettingDue(nowMillis)) return
        if (nowMillis < dueMillis()) return
        lastBatchMillis = nowMillis
        sendBatch(nowMillis)
    }

    /**
     * Whether the first roster waits for the first answers of workers.
     *
     * A worker that has answered by then is not limited, and may get a lease once the roster and the
     * heartbeat that comes with it are durable. The limits of inherited ones bind the next owner too,
     * so a roster with the longest limits waits longer for answers that shorten them.
     */
    private fun isAwaitingAnswers(nowMillis: Long): Boolean {
        if (fleet.isRosterDurable) return false
        val first = firstStepMillis ?: nowMillis.also { firstStepMillis = it }
        val elapsedMillis = nowMillis - first
        if (elapsedMillis >= LONGEST_FIRST_ROSTER_DELAY_MILLIS) return false
        val awaited =
            fleet.workers.values.filter { !it.lease.isClockKnown && !it.isSilent }
        return if (elapsedMillis < FIRST_ROSTER_DELAY_MILLIS) {
            awaited.isNotEmpty()
        } else {
            fleet.isLastOwnerUnknown && awaited.any { it.lease.isInherited }
        }
    }

    /**
     * The first heartbeat comes with the first roster, before which no lease is granted. One comes
     * sooner than usual if a worker gets no lease without it.
     */
    private fun isHeartbeatDue(nowMillis: Long): Boolean {
        if (!hasRosterChanged && !fleet.isRosterDurable) return false
        val elapsedMillis = nowMillis - lastHeartbeatMillis
        if (elapsedMillis >= SchedulerSettings.HEARTBEAT_INTERVAL_MILLIS) return true
        return elapsedMillis >= SHORTEST_HEARTBEAT_INTERVAL_MILLIS &&
            fleet.workers.values.any { it.lease.isHeartbeatDue }
    }

    private fun isForgettingDue(nowMillis: Long) = fleet.isRosterDurable &&
        nowMillis >= lastBatchMillis + FORGET_INTERVAL_MILLIS &&
        fleet.endedWorkflows.isAnyDue(nowMillis)

    private fun updateWaitingCounts(nowMillis: Long) {
        if (nowMillis < lastCountMillis + COUNT_INTERVAL_MILLIS) return
        lastCountMillis = nowMillis
        newWaiting = fleet.waitingByQueue().takeIf { it != recordedWaiting }
    }

    private fun updateInterference(nowMillis: Long, unixMillis: Long) {
        if (tails.readingCount == recordedReadings) return
        if (nowMillis < lastInterferenceMillis + INTERFERENCE_INTERVAL_MILLIS) return
        lastInterferenceMillis = nowMillis
        recordedReadings = tails.readingCount
        newInterference = tails.record(unixMillis)
    }

    /** Returns when the next batch is due, or null if there is none to send. */
    fun dueMillisOrNull(): Long? =
        if (inFlight != null || (changed.isEmpty() && !hasRosterChanged)) null else dueMillis()

    /** Returns when the next batch is due; a full batch is due at once. */
    private fun dueMillis(): Long {
        val isFull = changed.size >= RecordBatch.MAX_WORKFLOWS
        return lastBatchMillis + if (isFull) 0 else fleet.settings.recordIntervalMillis
    }

    private fun sendBatch(nowMillis: Long) {
        val isHeartbeat = isHeartbeatDue(nowMillis)
        if (isHeartbeat) {
            lastHeartbeatMillis = nowMillis
            fleet.onHeartbeatFormed(nowMillis)
        }
        val batch = changed.take(RecordBatch.MAX_WORKFLOWS)
        changed -= batch.toSet()
        val roster = if (hasRosterChanged) fleet.workers.values.map { it.ref } else null
        hasRosterChanged = false
        if (roster != null) hasSentRoster = true
        val leasesLeft = if (roster != null) leases.limit(nowMillis) else LeasesLeft.NONE
        val namedStandbys =
            roster?.let { standbys.onRosterFormed(it.toSet(), leasesLeft.fixed.keys) }.orEmpty()
        val forgotten = if (fleet.isRosterDurable) {
            fleet.endedWorkflows.takeDue(nowMillis, RecordBatch.MAX_WORKFLOWS - batch.size)
        } else {
            emptyList()
        }
        inFlight = BatchInFlight(
            batch.map(::RecordedWorkflow),
            roster?.associateWith { fleet.workers[it.id]?.introducedStartUnixMillis },
            nowMillis.takeIf { isHeartbeat },
            forgotten
        )
        val progress = batch.associate { it.id to it.progress() }
        newWaiting?.let { recordedWaiting = it }
        val records = RecordBatch(
            progress,
            roster,
            newWaiting,
            leasesLeft,
            interference = newInterference,
            isHeartbeat = isHeartbeat,
            recordsPlaces = fleet.arePlacesRecorded,
            standbys = namedStandbys,
            lastAnnounced = standbys.lastNumber,
            forgotten = forgotten.map { ForgottenWorkflow(it.id, it.isCancelled) },
            unknown = roster?.let { fleet.recordedUnknownOwner },
            incarnations = if (roster != null) fleet.recordedIncarnations() else emptyMap()
        )
        fleet.outbox += SchedulerAction.Record(records)
        newWaiting = null
        newInterference = null
    }

    /** Marks the batch in flight as durable; returns the workflows that it contained. */
    fun onBatchDurable(): List<OpenWorkflow> {
        val done = inFlight ?: return emptyList()
        inFlight = null
        for (record in done.workflows) {
            record.workflow.durablePhase = record.phase
            record.workflow.durableChange = record.change
            fleet.retireIfEnded(record.workflow)
        }
        fleet.endedWorkflows.onDeleted(done.forgotten)
        done.heartbeatMillis?.let {
            standbys.onHeartbeatDurable(it)
            fleet.onHeartbeatKnown(it, isDurable = true)
        }
        if (done.workflows.any { it.workflow.isLongRunning }) fleet.isPlacementDue = true
        pendingEnds.entries.removeIf { (worker, ends) -> releaseDurableEnds(worker, ends) }
        if (done.roster != null) {
            fleet.workers.values.filter { it.ref in done.roster }
                .forEach { it.onRosterDurable(done.roster[it.ref]) }
            leases.onRecorded()
            standbys.onRosterDurable()
            fleet.isPlacementDue = true
        }
        return done.workflows.map { it.workflow }
    }

    /** Allows acknowledgement of the durable [ends], in order; returns whether none is left. */
    private fun releaseDurableEnds(worker: FleetWorker, ends: ArrayDeque<PendingEnd>): Boolean {
        while (ends.firstOrNull()?.isDurable == true) {
            worker.recordedEnd = ends.removeFirst().number
        }
        if (ends.isEmpty()) worker.recordedEnd = worker.seenEnd
        return ends.isEmpty()
    }

    private companion object {
        /** A worker that comes or restarts waits for it, and all hosts read each heartbeat. */
        const val SHORTEST_HEARTBEAT_INTERVAL_MILLIS = 150L

        /** Many times the response time of a worker. */
        const val FIRST_ROSTER_DELAY_MILLIS = 200L

        /** The response time of a worker whose orders wait for a relay, and a second attempt. */
        const val LONGEST_FIRST_ROSTER_DELAY_MILLIS = 1_000L

        /**
         * Callers may see counts of waiting workflows that are 2 s old; this takes up half of that.
         */
        const val COUNT_INTERVAL_MILLIS = 1_000L

        /** Limits batches that only delete to 5 a second, a small share of the store's writes. */
        const val FORGET_INTERVAL_MILLIS = 200L

        /** A successor loses what was learned since then; each record has some kilobytes. */
        const val INTERFERENCE_INTERVAL_MILLIS = 2_000L
    }
}
