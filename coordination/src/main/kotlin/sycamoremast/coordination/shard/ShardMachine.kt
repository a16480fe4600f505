/**
 * The decisions of a shard's owner, free of threads, clocks and calls.
 *
 * The machine takes one event at a time together with the present time on the owner's monotonic
 * clock and returns the actions that follow. It is deterministic: the same events at the same times
 * give the same actions. It keeps its tables in place, as a copy of ten thousand workers' state for
 * every heartbeat would cost more than the decisions themselves.
 */
package sycamoremast.coordination.shard

import sycamoremast.coordination.ListedHost
import sycamoremast.coordination.placement.FailureJudge
import sycamoremast.coordination.placement.HeldShares
import sycamoremast.coordination.record.DocumentChange
import sycamoremast.coordination.record.JobKey
import sycamoremast.coordination.record.ShardDocument

/**
 * The owner, or would-be owner, of one shard of workers.
 *
 * @sample sycamoremast.coordination.shard.ShardMachineSample.ownAShard
 */
class ShardMachine(private val settings: ShardSettings) {
    private var calls = 0L
    private val ownership = Ownership(settings, ::newCall)
    private val ledger = DocumentLedger(settings.writer, BackOff(FIRST_PAUSE_MILLIS))
    private var out = ArrayList<ShardAction>()
    private val shares = HeldShares()
    private val judge = FailureJudge(settings.attemptsPerTask)
    private val tasks = TaskTable(shares, judge, ledger::submit) { out += it }
    private val interference = InterferenceWatch(tasks)
    private val workers = WorkerTable(settings, tasks, interference, ::newCall)
    private val dispatcher = Dispatcher(tasks, workers, shares, judge, interference, ledger)
    private val endedJobs = EndedJobs(settings, tasks)
    private val checkpoints = CheckpointRecorder(settings, tasks)
    private val intake = JobIntake(tasks, ledger)
    private val handOver = HandOver()
    private val listedJobs = HashMap<String, ShardEvent.JobsListed>()
    private var listedWorkers = emptyList<ListedHost>()
    private var epoch = 0L
    private var recovered = false
    private var releasing = false
    private var sweptMillis = Long.MIN_VALUE
    private var placementDueMillis = Long.MIN_VALUE
    private var sweepWakeMillis = Long.MIN_VALUE

    /**
     * When the next [ShardEvent.Tick] is due on the owner's clock, unless another event comes first.
     *
     * It may lie in the past while nothing can be done about what is due; [SHORTEST_WAIT_MILLIS]
     * then bounds how often it is worth trying.
     */
    val wakeMillis: Long
        get() = minOf(
            ownership.wakeMillis,
            if (mayWrite) ledger.wakeMillis else Long.MAX_VALUE,
            if (isOwner) sweepWakeMillis else Long.MAX_VALUE
        )

    init {
        tasks.onRemoved = interference::forget
    }

    /** Returns the actions that follow from [event] at [nowMillis]. */
    fun handle(event: ShardEvent, nowMillis: Long): List<ShardAction> {
        out = ArrayList()
        tasks.nowMillis = nowMillis
        when (event) {
            is ShardEvent.Tick -> sweptMillis = Long.MIN_VALUE
            is ShardEvent.ReleaseRequested -> {
                releasing = true
                handOver.begin(nowMillis)
            }
            is ShardEvent.Listing -> onListing(event, nowMillis)
            is ShardEvent.OwnershipAnswer -> onOwnership(event, nowMillis)
            is ShardEvent.DocumentAnswer -> onDocument(event, nowMillis)
            is ShardEvent.WorkerAnswer -> onWorker(event, nowMillis)
        }
        proceed(nowMillis)
        return out
    }

    /** Returns what the machine knows, for operators and tests. */
    fun snapshot(): ShardSnapshot = ShardSnapshot(
        isOwner = isOwner,
        isReleased = ownership.phase == OwnershipPhase.RELEASED,
        epoch = epoch,
        document = ledger.document,
        documentBytes = ledger.bytes,
        heldBack = intake.heldBack,
        workers = workers.size,
        running = tasks.jobs.values.associate { it.key to it.live.size }.filterValues { it > 0 }
    )

    private val isOwner get() = ownership.phase == OwnershipPhase.OWNING

    private fun newCall() = ++calls

    private fun proceed(nowMillis: Long) {
        if (!ownership.tick(nowMillis, out)) stepDown("lease-lapsed", nowMillis)
        val sweeps = isOwner && isSweepDue(nowMillis)
        if (sweeps) sweep(nowMillis)
        if (isOwner) recover()
        if (mayAct(nowMillis) && !releasing) {
            if (sweeps) workers.renew(nowMillis, out)
            if (!handOver.isUnderWay(nowMillis)) {
                dispatcher.place(epoch, recovered, nowMillis, out)
            }
            if (sweeps) workers.endTasks(nowMillis, out)
        }
        if (mayWrite) ledger.nextCall(nowMillis, ::newCall)?.let { out += it }
        if (releasing) release(nowMillis)
        sweepWakeMillis =
            if (sweeps) nextSweepMillis(nowMillis) else sweptMillis + SHORTEST_WAIT_MILLIS
    }

    private val mayWrite get() = isOwner || ownership.phase == OwnershipPhase.TAKING_OVER

    /** An event other than a tick may change what is due, so that the next sweep follows soon. */
    private fun nextSweepMillis(nowMillis: Long): Long {
        val isSoon = tasks.isPlacementDue || handOver.isUnderWay(nowMillis)
        return if (isSoon) sweptMillis + SHORTEST_WAIT_MILLIS else workers.wakeMillis
    }

    /** Hands the shard over if that disturbs nothing now. */
    private fun handOver(nowMillis: Long) {
        val isSafe = recovered && ownership.isReliable(nowMillis) && ledger.isSettled
        if (!isSafe || tasks.areStarting) return
        out += ShardAction.Note("hand-over", settings.owner, "epoch $epoch")
        clear()
        ownership.abandon(nowMillis, out)
    }

    /**
     * Whether the owner may renew and start now.
     *
     * Without a reliable lease it may as long as the workers themselves show that no other host has
     * taken over.
     */
    private fun mayAct(nowMillis: Long): Boolean = ownership.isReliable(nowMillis) ||
        (
            ownership.isWithinCutOff(nowMillis) &&
                ledger.isWorkerSetCertain &&
                workers.mayGoOn(nowMillis)
            )

    private fun isSweepDue(nowMillis: Long) =
        sweptMillis == Long.MIN_VALUE || nowMillis >= sweptMillis + SWEEP_MILLIS

    /** Does what would cost too much after every event. */
    private fun sweep(nowMillis: Long) {
        sweptMillis = nowMillis
        if (!releasing && handOver.isUnderWay(nowMillis)) handOver(nowMillis)
        workers.expire(nowMillis)
        shares.capacity = workers.capacity()
        if (nowMillis < placementDueMillis) return
        placementDueMillis = nowMillis + settings.heartbeatMillis
        tasks.isPlacementDue = true
        val forgettable = workers.forgettable(nowMillis)
        if (forgettable.isNotEmpty()) {
            ledger.submit(DocumentChange.RemoveWorkers(forgettable))
        }
        if (!ledger.isSettled) return
        endedJobs.shrink(ledger.document, listedJobs, ledger::submit)
        checkpoints.record(ledger.document, nowMillis, ledger::submit)
        intake.retry(listedJobs.values, epoch)
    }

    /** Gives the shard up once nothing is under way; starts are waited for as in a hand-over. */
    private fun release(nowMillis: Long) {
        val isStarting = tasks.areStarting && handOver.isUnderWay(nowMillis)
        if (ownership.phase == OwnershipPhase.RELEASED) return
        if (isOwner && (isStarting || !ledger.isSettled)) return
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
        recovered = false
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
                is DocumentChange.RecordUnknownOutcome -> tasks.onLossDurable(change)
                is DocumentChange.RecordStart -> dispatcher.onStartRecorded(change, out)
                is DocumentChange.RemoveWorkers -> workers.forget(change.workers)
                is DocumentChange.AddWorkers -> workers.markRecorded(change.workers)
                else -> Unit
            }
        }
    }

    private fun takeOver(nowMillis: Long) {
        ownership.onTakenOver(nowMillis)
        workers.takeOver(epoch, ledger.document.workers, nowMillis)
        out += ShardAction.Note("take-over", settings.owner, "epoch $epoch")
        tasks.reportRecordedLosses()
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
        val added = workers.list(listedWorkers, nowMillis)
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
        val before = intake.heldBack
        intake.accept(listedJobs.values, epoch)
        if (before > 0 || intake.heldBack == 0) return
        val detail = "${intake.heldBack} jobs wait for room in the document"
        out += ShardAction.Note("hold-back", settings.owner, detail)
    }

    private fun cancel(event: ShardEvent.CancelRequested) {
        tasks.jobs[event.key]?.let {
            it.isEnding = true
            tasks.settle(it)
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

    private fun recover() {
        if (recovered || !workers.areSettled) return
        recovered = true
        tasks.isPlacementDue = true
        tasks.loseUnfoundStarts(epoch)
    }

    companion object {
        /** How long a caller waits at least until it delivers the next [ShardEvent.Tick]. */
        const val SHORTEST_WAIT_MILLIS = 25L

        private const val SWEEP_MILLIS = 20L

        /** The pause after the first failed call on the document. */
        private const val FIRST_PAUSE_MILLIS = 50L
    }
}

/**
 * What a shard's machine knows; [running] counts each job's placed tasks.
 *
 * [heldBack] jobs wait for room in the document.
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
