/**
 * The state machine of a shard's owner, without threads, clocks and I/O.
 *
 * The machine takes one event at a time with the current time of the owner's monotonic clock and
 * returns the resulting actions. It is deterministic: the same events at the same times give the
 * same actions. Its tables are mutable, because copying the state of ten thousand workers on every
 * heartbeat would cost more than the decisions themselves.
 */
package sycamoremast.coordination.shard

import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.placement.FailureTracker
import sycamoremast.coordination.placement.HeldShares
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.ShardDocument

/**
 * The owner, or a candidate for the ownership, of one shard of workers.
 *
 * @sample sycamoremast.coordination.shard.ShardMachineSample.ownShardUntilJobEnds
 */
class ShardMachine(private val settings: ShardSettings) {
    private var calls = 0L
    private val ownership = Ownership(settings, ::newCall)
    private val ledger =
        DocumentLedger(settings.writer, ExponentialBackoff(INITIAL_BACKOFF_MILLIS))
    private var out = ArrayList<ShardAction>()
    private val shares = HeldShares()
    private val judge = FailureTracker(settings.attemptsPerTask)
    private val tasks = TaskTable(shares, judge, ledger::submit) { out += it }
    private val interference = InterferenceMonitor(tasks)
    private val workers = WorkerTable(settings, tasks, interference, ::newCall)
    private val dispatcher = Dispatcher(tasks, workers, shares, judge, interference, ledger)
    private val endedJobs = EndedJobCompactor(settings, tasks)
    private val checkpoints = CheckpointRecorder(settings, tasks)
    private val admission = JobAdmission(tasks, ledger)
    private val handOver = HandOver()
    private val listedJobs = HashMap<String, ShardEvent.JobsListed>()
    private var listedWorkers = emptyList<ListedHost>()
    private var epoch = 0L
    private var isRecovered = false
    private var isReleasing = false
    private var lastSweepMillis = Long.MIN_VALUE
    private var placementDueMillis = Long.MIN_VALUE
    private var sweepWakeMillis = Long.MIN_VALUE

    /**
     * The time on the owner's clock at which the next [ShardEvent.Tick] is due.
     *
     * Another event may come first. The time may be in the past while the due work is blocked;
     * callers wait at least [MIN_TICK_INTERVAL_MILLIS] between ticks.
     */
    val wakeMillis: Long
        get() = minOf(
            ownership.wakeMillis,
            if (canWrite) ledger.wakeMillis else Long.MAX_VALUE,
            if (isOwner) sweepWakeMillis else Long.MAX_VALUE
        )

    init {
        tasks.onRemoved = interference::forget
    }

    /** Processes [event] at [nowMillis] and returns the resulting actions. */
    fun handle(event: ShardEvent, nowMillis: Long): List<ShardAction> {
        out = ArrayList()
        tasks.nowMillis = nowMillis
        when (event) {
            is ShardEvent.Tick -> lastSweepMillis = Long.MIN_VALUE
            is ShardEvent.ReleaseRequested -> {
                isReleasing = true
                handOver.begin(nowMillis)
            }
            is ShardEvent.Listing -> onListing(event, nowMillis)
            is ShardEvent.OwnershipAnswer -> onOwnership(event, nowMillis)
            is ShardEvent.DocumentAnswer -> onDocument(event, nowMillis)
            is ShardEvent.WorkerAnswer -> onWorker(event, nowMillis)
        }
        runDueWork(nowMillis)
        return out
    }

    /** Returns the current state, for operators and tests. */
    fun snapshot(): ShardSnapshot = ShardSnapshot(
        isOwner = isOwner,
        isReleased = ownership.phase == OwnershipPhase.RELEASED,
        epoch = epoch,
        document = ledger.document,
        documentBytes = ledger.sizeBytes,
        heldBack = admission.heldBack,
        workers = workers.size,
        running = tasks.jobs.values.associate { it.key to it.activeAttempts.size }
            .filterValues { it > 0 }
    )

    private val isOwner get() = ownership.phase == OwnershipPhase.OWNING

    private fun newCall() = ++calls

    private fun runDueWork(nowMillis: Long) {
        if (!ownership.tick(nowMillis, out)) stepDown("lease-lapsed", nowMillis)
        val isSweeping = isOwner && isSweepDue(nowMillis)
        if (isSweeping) sweep(nowMillis)
        if (isOwner) tryFinishRecovery()
        if (canAct(nowMillis) && !isReleasing) {
            if (isSweeping) workers.renew(nowMillis, out)
            if (!handOver.isUnderWay(nowMillis)) {
                dispatcher.place(epoch, isRecovered, nowMillis, out)
            }
            if (isSweeping) workers.sendStopOrders(nowMillis, out)
        }
        if (canWrite) ledger.nextCall(nowMillis, ::newCall)?.let { out += it }
        if (isReleasing) tryRelease(nowMillis)
        sweepWakeMillis = if (isSweeping) {
            nextSweepMillis(nowMillis)
        } else {
            lastSweepMillis + MIN_TICK_INTERVAL_MILLIS
        }
    }

    private val canWrite get() = isOwner || ownership.phase == OwnershipPhase.TAKING_OVER

    /** Returns when the next sweep is due, which is soon if placement or a hand-over is pending. */
    private fun nextSweepMillis(nowMillis: Long): Long {
        val isSoon = tasks.isPlacementDue || handOver.isUnderWay(nowMillis)
        return if (isSoon) lastSweepMillis + MIN_TICK_INTERVAL_MILLIS else workers.wakeMillis
    }

    /** Hands the shard over if no start or write is in progress and the owner has recovered. */
    private fun tryHandOver(nowMillis: Long) {
        val isSafe = isRecovered && ownership.isReliable(nowMillis) && ledger.isFlushed
        if (!isSafe || tasks.hasStartingAttempts) return
        out += ShardAction.Note("hand-over", settings.owner, "epoch $epoch")
        clear()
        ownership.abandon(nowMillis, out)
    }

    /**
     * Whether the owner may renew worker leases and start tasks now.
     *
     * Without a reliable lease of its own it may continue, for a limited time, while the answers of
     * a quorum of workers prove that no other host has taken over.
     */
    private fun canAct(nowMillis: Long): Boolean = ownership.isReliable(nowMillis) ||
        (
            ownership.isWithinStoreOutageLimit(nowMillis) &&
                ledger.isWorkerSetCertain &&
                workers.hasContinuationQuorum(nowMillis)
            )

    private fun isSweepDue(nowMillis: Long) =
        lastSweepMillis == Long.MIN_VALUE || nowMillis >= lastSweepMillis + SWEEP_INTERVAL_MILLIS

    /** Does the periodic work that is too expensive after every event. */
    private fun sweep(nowMillis: Long) {
        lastSweepMillis = nowMillis
        if (!isReleasing && handOver.isUnderWay(nowMillis)) tryHandOver(nowMillis)
        workers.expire(nowMillis)
        shares.capacity = workers.capacity()
        if (nowMillis < placementDueMillis) return
        placementDueMillis = nowMillis + settings.heartbeatMillis
        tasks.isPlacementDue = true
        val removableWorkers = workers.removableWorkers(nowMillis)
        if (removableWorkers.isNotEmpty()) {
            ledger.submit(DocumentChange.RemoveWorkers(removableWorkers))
        }
        if (!ledger.isFlushed) return
        endedJobs.compact(ledger.document, listedJobs, ledger::submit)
        checkpoints.record(ledger.document, nowMillis, ledger::submit)
        admission.retry(listedJobs.values, epoch)
    }

    /** Releases the shard once all writes are durable; waits for starts as in a hand-over. */
    private fun tryRelease(nowMillis: Long) {
        val hasStartingAttempts = tasks.hasStartingAttempts && handOver.isUnderWay(nowMillis)
        if (ownership.phase == OwnershipPhase.RELEASED) return
        if (isOwner && (hasStartingAttempts || !ledger.isFlushed)) return
        clear()
        ownership.release(nowMillis, out)
    }

    private fun stepDown(reason: String, nowMillis: Long) {
        out += ShardAction.Note("step-down", settings.owner, reason)
        clear()
        ownership.abandon(nowMillis, out)
    }

    private fun clear() {
        workers.clear()
        tasks.clear()
        ledger.reset()
        handOver.end()
        isRecovered = false
        epoch = 0
    }

    private fun onOwnership(event: ShardEvent.OwnershipAnswer, nowMillis: Long) {
        when (event) {
            is ShardEvent.OwnerRead -> ownership.onOwnerRead(event, nowMillis, out)

            is ShardEvent.LeaseGranted -> ownership.onLeaseGranted(event, nowMillis, out)

            is ShardEvent.OwnerClaimed ->
                if (ownership.onOwnerClaimed(event, nowMillis, out)) ledger.reset()

            is ShardEvent.LeaseKept ->
                if (!ownership.onLeaseKept(event, nowMillis)) stepDown("lease-gone", nowMillis)
        }
    }

    private fun onDocument(event: ShardEvent.DocumentAnswer, nowMillis: Long) {
        val outcome = when (event) {
            is ShardEvent.DocumentRead -> ledger.onRead(event, nowMillis)
            is ShardEvent.DocumentWritten -> ledger.onWritten(event, nowMillis)
        }
        when (outcome) {
            LedgerOutcome.Undecided -> Unit
            LedgerOutcome.Refreshed -> onRefreshed(nowMillis)
            is LedgerOutcome.Applied -> onApplied(outcome.changes, nowMillis)
        }
    }

    private fun onRefreshed(nowMillis: Long) {
        val document = ledger.document
        when {
            isOwner && document.epoch != epoch -> stepDown("epoch ${document.epoch}", nowMillis)

            isOwner -> tasks.sync(document)

            epoch == 0L -> {
                epoch = document.epoch + 1
                ledger.submit(DocumentChange.TakeOver(settings.owner, epoch))
            }

            document.epoch >= epoch -> stepDown("epoch ${document.epoch}", nowMillis)
        }
    }

    private fun onApplied(changes: List<DocumentChange>, nowMillis: Long) {
        if (ledger.document.epoch != epoch) return stepDown("overtaken", nowMillis)
        tasks.sync(ledger.document)
        if (!isOwner) takeOver(nowMillis)
        for (change in changes) {
            when (change) {
                is DocumentChange.FinishTasks -> tasks.onFinishDurable(change.key, change.indices)
                is DocumentChange.RecordUnknownOutcome -> tasks.onUnknownOutcomeDurable(change)
                is DocumentChange.RecordStart -> dispatcher.onStartRecorded(change, out)
                is DocumentChange.RemoveWorkers -> workers.forget(change.workers)
                is DocumentChange.AddWorkers -> workers.markRecorded(change.workers)
                else -> Unit
            }
        }
    }

    private fun takeOver(nowMillis: Long) {
        ownership.onTakenOver(nowMillis)
        workers.beginEpoch(epoch, ledger.document.workers, nowMillis)
        out += ShardAction.Note("take-over", settings.owner, "epoch $epoch")
        tasks.reportRecordedUnknownOutcomes()
        listWorkers(nowMillis)
        acceptJobs()
    }

    private fun onListing(event: ShardEvent.Listing, nowMillis: Long) {
        when (event) {
            is ShardEvent.DocumentChanged -> ledger.requireRead()

            is ShardEvent.PreferenceListed -> ownership.preference = event.preference

            is ShardEvent.HandOverRequested -> if (isOwner) handOver.begin(nowMillis)

            is ShardEvent.OwnerSeen -> ownership.onOwnerSeen(event.isHeld, nowMillis)

            is ShardEvent.WorkersListed -> {
                listedWorkers = event.workers
                if (isOwner) listWorkers(nowMillis)
            }

            is ShardEvent.JobsListed -> listJobs(event)

            is ShardEvent.CancelRequested -> if (isOwner) cancel(event)
        }
    }

    private fun listWorkers(nowMillis: Long) {
        val added = workers.updateListing(listedWorkers, nowMillis)
        if (added.isNotEmpty()) ledger.submit(DocumentChange.AddWorkers(added))
    }

    private fun listJobs(event: ShardEvent.JobsListed) {
        val known = listedJobs[event.team]
        if (known != null && known.revision >= event.revision) return
        listedJobs[event.team] = event
        event.quota?.let { shares.setQuota(event.team, it) }
        if (isOwner) acceptJobs()
    }

    private fun acceptJobs() {
        val before = admission.heldBack
        admission.accept(listedJobs.values, epoch)
        if (before > 0 || admission.heldBack == 0) return
        val detail = "${admission.heldBack} jobs held back until the document has space"
        out += ShardAction.Note("hold-back", settings.owner, detail)
    }

    private fun cancel(event: ShardEvent.CancelRequested) {
        tasks.jobs[event.key]?.let {
            it.isEnding = true
            tasks.stopAttempts(it)
        }
        ledger.submit(DocumentChange.CancelJob(event.key, event.tasks, event.reason))
    }

    private fun onWorker(event: ShardEvent.WorkerAnswer, nowMillis: Long) {
        val isStillOwner = when (event) {
            is ShardEvent.Renewed -> workers.onRenewed(
                event,
                ownership.isReliable(nowMillis),
                nowMillis,
                out
            )
            is ShardEvent.Started -> workers.onStarted(event, nowMillis)
            is ShardEvent.Controlled -> workers.onControlled(event)
        }
        if (!isStillOwner) stepDown("refused by ${event.worker}", nowMillis)
    }

    private fun tryFinishRecovery() {
        if (isRecovered || !workers.areReconciled) return
        isRecovered = true
        tasks.isPlacementDue = true
        tasks.markUnfoundStartsUnknown(epoch)
    }

    companion object {
        /** The minimum time for which a caller waits before the next [ShardEvent.Tick]. */
        const val MIN_TICK_INTERVAL_MILLIS = 25L

        private const val SWEEP_INTERVAL_MILLIS = 20L

        /** The delay after the first failed call on the document. */
        private const val INITIAL_BACKOFF_MILLIS = 50L
    }
}

/**
 * A snapshot of a shard's state machine.
 *
 * [heldBack] is the number of jobs that are waiting for space in the document, and [running] the
 * number of placed tasks of each job.
 */
data class ShardSnapshot(
    val isOwner: Boolean,
    val isReleased: Boolean,
    val epoch: Long,
    val document: ShardDocument,
    val documentBytes: Int,
    val heldBack: Int,
    val workers: Int,
    val running: Map<JobKey, Int>
)
