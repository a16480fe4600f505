/**
 * A host's ownership of a worker set: at the start of a term, recovers the scheduler's state from
 * the store, then feeds it the store's changes.
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
import sycamoremast.coordination.StorePage
import sycamoremast.coordination.TransactionalStore
import sycamoremast.coordination.forEachPage
import sycamoremast.coordination.workflow.InterferenceRecord
import sycamoremast.coordination.workflow.RecordVersion
import sycamoremast.coordination.workflow.RosterRecord
import sycamoremast.coordination.workflow.RunPort
import sycamoremast.coordination.workflow.SchedulerSettings
import sycamoremast.coordination.workflow.WorkerRef
import sycamoremast.coordination.workflow.WorkflowProgress
import sycamoremast.coordination.workflow.WorkflowScheduler
import sycamoremast.daemon.log.EventLog

/** Starts and stops the scheduler of worker set [set] at the start and end of this host's terms. */
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
    private val standbys: StandbyLinks = StandbyLinks.None,
    private val routing: () -> RoutingTable?
) : TermListener {
    /** Called with the reason when a term can't continue. */
    var onDeposed: (String) -> Unit = {}

    /** Returns the state of this host's lease. */
    var leaseState: () -> LeaseState = { LeaseState.VALID }

    /** Keeps the term while its recovery goes on; returns whether it goes on. */
    var keepTerm: () -> Boolean = { true }

    /** The running scheduler, or null while another host owns the set. */
    @Volatile
    var loop: SchedulerLoop? = null
        private set

    /** The dispatch of the running scheduler's orders, or null while another host owns the set. */
    @Volatile
    var dispatch: OrderDispatch? = null
        private set
    private var followers = emptyList<PrefixFollower>()
    private var epoch = 0L

    /** The times by which the leases of this process's last term have lapsed, by its epoch. */
    private var ownLeaseEnds = emptyMap<Long, Map<WorkerRef, Long>>()

    override fun onBegin(term: Term) {
        epoch = term.epoch
        val writer = RecordWriter(store, set, term, log)
        val scheduler = WorkflowScheduler(term.epoch, settings)
        val sender = OrderDispatch(term.epoch, runs, relays, clock, log).start()
        dispatch = sender
        val next =
            SchedulerLoop(scheduler, sender, writer, clock, log, meters, leaseState, standbys) {
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
                    "workflows" to recovered.value.workflows,
                    "open" to recovered.value.openWorkflows,
                    "tookMillis" to clock.nowMillis() - term.sightings.claimedMillis
                )
                routing()?.let(next::updateRouting)
                next.start()
                loop = next
                startFollowers(next, workers, term, recovered.value.revision)
            }
        }
    }

    /** Loads the store's content into [next], while this host keeps its term. */
    private fun recover(
        next: SchedulerLoop,
        workers: WorkerFeed,
        term: Term
    ): Either<StoreError, Recovery> = either {
        val listed = store.list(catalog.workersPrefix).bind()
        val roster = store.get(WorkflowKeys.roster(set)).bind()
        val heartbeat = store.get(WorkflowKeys.owner(set, OwnerDetail.HEARTBEAT)).bind()
            ?.let { decodeRecordOrNull<RecordVersion>(it.value) }
        val interference = store.get(WorkflowKeys.interference(set)).bind()
        val kept = TermKeepingStore(store, keepTerm)
        val progress = HashMap<String, WorkflowProgress>()
        kept.forEachPage(WorkflowKeys.progress(set)) { page ->
            page.associateTo(progress) { it.key.lastSegment() to readProgress(it).bind() }
        }.bind()
        workers.onListing(listed)
        roster?.let { decodeRecordOrNull<RosterRecord>(it.value) }
            ?.let { next.addRoster(it, heartbeat, term) }
        interference?.let { restoreInterference(next, it) }
        val revision =
            WorkflowFeed(next, set, term, log, progress).read(kept, WorkflowKeys.WORK).bind()
        Recovery(revision, progress.size, progress.values.count { !it.phase.isFinal })
    }

    /** Adds the workers of the last [roster], with the time by which their leases expire. */
    private fun SchedulerLoop.addRoster(
        roster: RosterRecord,
        heartbeat: RecordVersion?,
        term: Term
    ) {
        log.add(
            "roster",
            "workers" to roster.workers.size,
            "epoch" to roster.epoch,
            "succeededMillisAgo" to
                clock.nowMillis() - term.sightings.claimedByMillis(roster.epoch + 1),
            "writtenMillisAgo" to
                term.sightings.rosterMillisOrNull(roster.version)?.let { clock.nowMillis() - it },
            "heartbeatEpoch" to heartbeat?.epoch,
            "heartbeatMillisAgo" to
                heartbeat?.let { clock.nowMillis() - term.sightings.heartbeatMillis(it) },
            "endedMillisAgo" to term.sightings.ends[roster.epoch]?.let { clock.nowMillis() - it },
            "knownLeases" to (roster.leasesLeft?.size ?: 0),
            "drainingLeases" to (roster.drainingLeasesLeft?.size ?: 0),
            "recordsPlaces" to roster.recordsPlaces,
            "standbys" to roster.standbys.size,
            "needsWorkers" to roster.needsWorkers,
            "quorum" to roster.quorum,
            "unknownEpoch" to roster.unknown?.roster?.epoch,
            "isStandby" to (term.sightings.process in roster.standbys),
            "acknowledgedMillisAgo" to
                term.sightings.acknowledgedMillisOrNull(roster.epoch)
                    ?.let { clock.nowMillis() - it }
        )
        val sightings = term.sightings.copy(leaseEnds = ownLeaseEnds)
        updateSuccession { addRoster(roster, sightings, heartbeat, it) }
    }

    /** Passes on what [entry] holds; a scheduler without it learns anew. */
    private fun restoreInterference(next: SchedulerLoop, entry: StoreEntry) {
        val record = decodeRecordOrNull<InterferenceRecord>(entry.value)
        if (record != null) return next.restoreInterference(record)
        log.add("interference-unreadable", "key" to entry.key, "version" to entry.version)
    }

    /**
     * Returns the progress that [entry] holds, or an error that ends the term: a workflow with
     * unreadable progress must not start over.
     */
    private fun readProgress(entry: StoreEntry): Either<StoreError, WorkflowProgress> =
        decodeRecordOrNull<WorkflowProgress>(entry.value)?.right()
            ?: StoreError.AnswerLost("read-progress", entry.key, "unreadable record").left()

    /** Follows the workflows from [revision] on, up to which they are recovered, and the workers. */
    private fun startFollowers(
        next: SchedulerLoop,
        workers: WorkerFeed,
        term: Term,
        revision: Long
    ) {
        val workflows = WorkflowFeed(next, set, term, log)
        followers = listOf(
            PrefixFollower(store, WorkflowKeys.WORK, log, workflows, revision = revision),
            PrefixFollower(store, catalog.workersPrefix, log, workers, clock = clock)
        ).onEach { it.start() }
    }

    override fun onEnd(reason: String) {
        followers.forEach { it.close() }
        followers = emptyList()
        val sender = dispatch
        dispatch = null
        sender?.close()
        val endingLoop = loop ?: return
        loop = null
        if (reason in PLANNED_END_REASONS) {
            endingLoop.closeAfterRecording(CLOSE_TIMEOUT_MILLIS)
        } else {
            endingLoop.close()
        }
        val end = endingLoop.endOrNull()
        if (end != null) ownLeaseEnds = mapOf(epoch to end.leaseEnds)
        logEnd(reason, end)
    }

    private fun logEnd(reason: String, end: TermEnd?) {
        val now = clock.nowMillis()
        log.add(
            "leases-at-end",
            "set" to set,
            "epoch" to epoch,
            "reason" to reason,
            "durableMillisAgo" to end?.durableMillis?.let { now - it },
            "confirmedMillisAgo" to end?.confirmedMillis?.let { now - it },
            "workers" to end?.leaseEnds?.count { it.value > now },
            "longestLeaseMillis" to end?.leaseEnds?.values?.maxOrNull()?.let { maxOf(it - now, 0) },
            "isHandedOver" to end?.isHandedOver
        )
    }

    companion object {
        /** The end reason of a planned stop, before which pending records are still written. */
        const val SHUTDOWN = "shutdown"

        /** The end reason of a planned stop in an outage of the store that outlasts it. */
        const val SHUTDOWN_WITHOUT_STORE = "shutdown without the store"

        /** The end reason when a stronger host is to take over, also with records written. */
        const val STRONGER_HOST = "a stronger host is there"
        private val PLANNED_END_REASONS = setOf(SHUTDOWN, STRONGER_HOST)

        /** Longer than two calls of the store without an answer take; a stop may take seconds. */
        private const val CLOSE_TIMEOUT_MILLIS = 1_500L
    }
}

/** What was recovered: the [workflows] with progress, up to [revision], and how many are open. */
private class Recovery(val revision: Long, val workflows: Int, val openWorkflows: Int)

/** Reads pages of [store] for as long as [keepTerm] returns true before each. */
private class TermKeepingStore(
    private val store: TransactionalStore,
    private val keepTerm: () -> Boolean
) : TransactionalStore by store {
    override fun page(
        prefix: String,
        after: String,
        mayBeStale: Boolean
    ): Either<StoreError, StorePage> = if (keepTerm()) {
        store.page(prefix, after, mayBeStale)
    } else {
        StoreError.NotSent("recover", prefix, "the term is over").left()
    }
}

/**
 * Passes accepted and cancelled workflows to the scheduler until another host owns the set.
 *
 * The owner's key is under the same prefix as the workflows, so changes of both arrive in the order
 * of the store: a workflow accepted after another owner's claim is never started by this owner.
 */
private class WorkflowFeed(
    private val loop: SchedulerLoop,
    private val set: Int,
    private val term: Term,
    private val log: EventLog,
    private val progress: Map<String, WorkflowProgress> = emptyMap()
) : PrefixListener {
    override fun read(store: TransactionalStore, prefix: String): Either<StoreError, Long> {
        var owner: StoreEntry? = null
        loop.deletions.onListing()
        return store.forEachPage(prefix) { page ->
            // Keys are listed in order, so the owner's key is read after all workflows.
            page.find { it.key == WorkflowKeys.owner(set) }?.let { owner = it }
            page.forEach(::applyEntry)
        }.onRight {
            loop.deletions.onListed(it)
            deposeUnlessOwner(owner?.value)
        }
    }

    override fun onChange(change: StoreChange) {
        val value = change.value
        when {
            change.key == WorkflowKeys.owner(set) -> deposeUnlessOwner(value)
            value != null -> applyEntry(StoreEntry(change.key, value, change.revision))

            change.key.startsWith(WorkflowKeys.JOBS) ->
                loop.deletions.onSeen(change.key.lastSegment(), change.revision)
        }
    }

    private fun deposeUnlessOwner(value: String?) {
        val owner = value?.let { decodeRecordOrNull<OwnerRecord>(it) }
        if (owner?.epoch == term.epoch) return
        loop.depose("owner key names host ${owner?.host} with epoch ${owner?.epoch}")
    }

    private fun applyEntry(entry: StoreEntry) {
        val id = entry.key.lastSegment()
        when {
            entry.key.startsWith(WorkflowKeys.JOBS) -> accept(id, entry)
            entry.key.startsWith(WorkflowKeys.CANCELS) -> loop.cancelWorkflow(id)
        }
    }

    private fun accept(id: String, entry: StoreEntry) {
        if (loop.statusOrNull(id) != null) return
        val ended = progress[id]?.takeIf { it.phase.isFinal }
        if (ended != null) return loop.addEndedWorkflow(id, ended)
        val record = decodeRecordOrNull<AcceptanceRecord>(entry.value)
        if (record == null) log.add("job-unreadable", "key" to entry.key)
        val workflow = record?.workflow ?: return
        loop.addWorkflow(workflow, progress[id], entry.version < term.epochRevision)
    }
}

/** Passes the platform's workers to the scheduler and the dispatch. */
private class WorkerFeed(
    private val catalog: PlatformCatalog,
    private val loop: SchedulerLoop,
    private val dispatch: OrderDispatch,
    private val log: EventLog
) : PrefixListener {
    override fun onListing(listing: StoreListing) {
        val workers = listing.entries.mapNotNull(catalog::workerOrNull)
        workers.forEach { dispatch.addWorker(it.ref.id, it.availabilityZone) }
        loop.updateWorkers(workers)
    }

    override fun onChange(change: StoreChange) {
        val value = change.value
        if (value == null) {
            dispatch.removeWorker(catalog.workerId(change.key))
            loop.removeWorker(catalog.workerId(change.key))
            return
        }
        val worker = catalog.workerOrNull(StoreEntry(change.key, value, change.revision))
        if (worker != null) {
            dispatch.addWorker(worker.ref.id, worker.availabilityZone)
            loop.updateWorker(worker)
        } else {
            log.add("worker-entry-unreadable", "key" to change.key, "revision" to change.revision)
        }
    }

    override fun onCurrent(asOfMillis: Long) = loop.confirmWorkers(asOfMillis)
}
