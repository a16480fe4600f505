/**
 * One host's ownership of a worker set: recovery at the start of a term, then the feeds of the loop.
 */
package sycamoremast.daemon.workflow

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import sycamoremast.coordination.MonotonicClock
import sycamoremast.coordination.StoreChange
import sycamoremast.coordination.StoreEntry
import sycamoremast.coordination.StoreError
import sycamoremast.coordination.StoreListing
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowScheduler
import sycamoremast.daemon.log.EventLog

/** Begins and ends the scheduler of worker set [set] with this host's terms. */
internal class Ownership(
    private val store: TransactionalStore,
    private val catalog: PlatformCatalog,
    private val runs: RunPort,
    private val set: Int,
    private val settings: SchedulerSettings,
    private val clock: MonotonicClock,
    private val log: EventLog,
    private val meters: WorkflowMeters,
    private val relays: Relays = Relays.None,
    private val routing: () -> RoutingTable?
) : TermListener {
    /** Is told the reason once a term can't go on. */
    var onDeposed: (String) -> Unit = {}

    /** Tells whether no other host can own the set now. */
    var isSoleOwner: () -> Boolean = { true }

    /** The running scheduler, or null while another host owns the set. */
    @Volatile
    var loop: SchedulerLoop? = null
        private set

    /** Sends the orders of the running scheduler, or null while another host owns the set. */
    @Volatile
    var dispatch: OrderDispatch? = null
        private set
    private var followers = emptyList<PrefixFollower>()

    override fun onBegin(term: Term) {
        val writer = RecordWriter(store, set, term.epoch, term.epochRevision, log)
        val scheduler = WorkflowScheduler(term.epoch, settings)
        val sender = OrderDispatch(term.epoch, runs, relays, clock, log).start()
        dispatch = sender
        val next = SchedulerLoop(scheduler, sender, writer, clock, log, meters, isSoleOwner) {
            onDeposed(it)
        }
        val workers = WorkerFeed(catalog, next, sender, log)
        when (val recovered = recover(next, workers, term)) {
            is Either.Left -> {
                log.add(
                    "recovery-failed",
                    "step" to recovered.value.step,
                    "peer" to recovered.value.peer,
                    "reason" to recovered.value.reason
                )
                onDeposed("recovery failed")
            }

            is Either.Right -> {
                log.add(
                    "recovered",
                    "epoch" to term.epoch,
                    "workflows" to recovered.value,
                    "tookMillis" to clock.nowMillis() - term.claimedMillis
                )
                routing()?.let { next.policies(it.queues) }
                next.start()
                loop = next
                follow(next, workers, term)
            }
        }
    }

    /** Feeds [next] with all that the store holds; returns the number of workflows. */
    private fun recover(
        next: SchedulerLoop,
        workers: WorkerFeed,
        term: Term
    ): Either<StoreError, Int> = either {
        val listed = store.list(catalog.workersPrefix).bind()
        val roster = store.get(WorkflowKeys.roster(set)).bind()
        val progress = store.list(WorkflowKeys.progress(set)).bind().entries
            .associate { WorkflowKeys.idOf(it.key) to readProgress(it).bind() }
        val work = store.list(WorkflowKeys.WORK).bind()
        workers.onListing(listed)
        roster?.let { decodeRecordOrNull<RosterRecord>(it.value) }?.let { next.rostered(it, term) }
        val feed = WorkFeed(next, set, term, log, progress)
        feed.onListing(work)
        progress.size
    }

    /** The last owner may go on past its lease, unless it gave up as planned. */
    private fun SchedulerLoop.rostered(roster: RosterRecord, term: Term) {
        val latest = settings.lapsedBy(term.claimedMillis + SchedulerSettings.PAST_LEASE_MILLIS)
        val left = roster.leasesLeft?.takeIf { roster.epoch == term.epoch - 1 }
        log.add("roster", "workers" to roster.workers.size, "wasHandedOver" to (left != null))
        for (worker in roster.workers) {
            rostered(worker, left?.get(worker.id)?.let { term.claimedMillis + it } ?: latest)
        }
    }

    /** A workflow whose progress can't be read must not start afresh: the term ends instead. */
    private fun readProgress(entry: StoreEntry): Either<StoreError, WorkflowProgress> =
        decodeRecordOrNull<WorkflowProgress>(entry.value)?.right()
            ?: StoreError.AnswerLost("read-progress", entry.key, "unreadable record").left()

    private fun follow(next: SchedulerLoop, workers: WorkerFeed, term: Term) {
        followers = listOf(
            PrefixFollower(store, WorkflowKeys.WORK, log, WorkFeed(next, set, term, log)),
            PrefixFollower(store, catalog.workersPrefix, log, workers)
        ).onEach { it.start() }
    }

    override fun onEnd(reason: String) {
        followers.forEach { it.close() }
        followers = emptyList()
        val sender = dispatch
        dispatch = null
        sender?.close()
        val last = loop ?: return
        loop = null
        if (reason in PLANNED) last.closeRecorded(CLOSE_MILLIS) else last.close()
    }

    companion object {
        /** The reason of an end by a planned stop, in which records are still written. */
        const val SHUTDOWN = "shutdown"

        /** The reason of an end for the sake of a stronger host. */
        const val STRONGER_HOST = "a stronger host is there"
        private val PLANNED = setOf(SHUTDOWN, STRONGER_HOST)
        private const val CLOSE_MILLIS = 300L
    }
}

/**
 * Tells the scheduler of accepted and cancelled workflows until the ownership has changed.
 *
 * The owner's key is followed with the workflows, in the order of the store's changes: a workflow
 * that was accepted after another owner's claim is never started by this one.
 */
private class WorkFeed(
    private val loop: SchedulerLoop,
    private val set: Int,
    private val term: Term,
    private val log: EventLog,
    private val progress: Map<String, WorkflowProgress> = emptyMap()
) : PrefixListener {
    override fun onListing(listing: StoreListing) {
        // The owner's key comes last in a listing: it was read after all workflows.
        val owner = listing.entries.find { it.key == WorkflowKeys.owner(set) }
        ownerIs(owner?.value)
        listing.entries.forEach(::take)
    }

    override fun onChange(change: StoreChange) {
        val value = change.value
        when {
            change.key == WorkflowKeys.owner(set) -> ownerIs(value)
            value != null -> take(StoreEntry(change.key, value, change.revision))
        }
    }

    private fun ownerIs(value: String?) {
        val owner = value?.let { decodeRecordOrNull<OwnerRecord>(it) }
        if (owner?.epoch == term.epoch) return
        loop.superseded("the owner's key names ${owner?.host} with epoch ${owner?.epoch}")
    }

    private fun take(entry: StoreEntry) {
        val id = WorkflowKeys.idOf(entry.key)
        when {
            entry.key.startsWith(WorkflowKeys.JOBS) -> accept(id, entry)
            entry.key.startsWith(WorkflowKeys.CANCELS) -> loop.cancelled(id)
        }
    }

    private fun accept(id: String, entry: StoreEntry) {
        val record = decodeRecordOrNull<AcceptanceRecord>(entry.value)
        if (record == null) log.add("job-unreadable", "key" to entry.key)
        val workflow = record?.workflow ?: return
        loop.accepted(workflow, progress[id], entry.version < term.epochRevision)
    }
}

/** Tells the scheduler of the platform's workers. */
private class WorkerFeed(
    private val catalog: PlatformCatalog,
    private val loop: SchedulerLoop,
    private val dispatch: OrderDispatch,
    private val log: EventLog
) : PrefixListener {
    override fun onListing(listing: StoreListing) {
        val workers = listing.entries.mapNotNull(catalog::workerOrNull)
        workers.forEach { dispatch.listed(it.ref.id, it.availabilityZone) }
        loop.listed(workers)
    }

    override fun onChange(change: StoreChange) {
        val value = change.value
        if (value == null) {
            dispatch.unlisted(catalog.workerId(change.key))
            loop.unlisted(catalog.workerId(change.key))
            return
        }
        val worker = catalog.workerOrNull(StoreEntry(change.key, value, change.revision))
        if (worker != null) {
            dispatch.listed(worker.ref.id, worker.availabilityZone)
            loop.listed(worker)
        } else {
            log.add("worker-entry-unreadable", "key" to change.key, "revision" to change.revision)
        }
    }
}
