/**
 * The workers of an owner's set, as the platform lists them and as the last owner recorded them.
 *
 * An entry shows only where a worker is found. Whether the worker is alive is shown by its answers,
 * so a worker that is no longer listed stays in the fleet until its lease has lapsed.
 */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

internal class WorkerDirectory(
    private val fleet: Fleet,
    private val tracker: RunTracker,
    private val recorder: Recorder
) {
    /**
     * Entries that name a new address of a worker whose earlier incarnation may still run tasks.
     */
    private val movedEntries = LinkedHashMap<String, WorkerListing>()
    private var isListCurrent = false

    /** Updates the fleet from the complete list of the platform. */
    fun onWorkersListed(workers: List<WorkerListing>, nowMillis: Long) {
        val byId = workers.associateBy { it.ref.id }
        fleet.workers.values.filter { it.id !in byId }.forEach { onWorkerUnlisted(it.id) }
        workers.forEach { onWorkerListed(it, nowMillis) }
    }

    /** Updates the fleet from the platform's entry of one worker. */
    fun onWorkerListed(listing: WorkerListing, nowMillis: Long) {
        val known = fleet.workers[listing.ref.id]
        if (isOutdated(listing, known)) return
        movedEntries -= listing.ref.id
        if (known != null && known.ref == listing.ref) {
            if (listing.isDraining && !known.listing.isDraining) {
                fleet.log("worker-draining", listing.ref.id, "runs" to known.placements.size)
            }
            if (listing.capacity != known.capacity) logCapacity(known, listing.capacity)
            recordUnknownIncarnation(known, listing, nowMillis)
            if (known.incarnation.isBefore(
                    listing
                )
            ) {
                tracker.onRestartListed(known, listing, nowMillis)
            }
            known.updateListing(listing, nowMillis)
            fleet.resetWorkerIndexes()
            fleet.isPlacementDue = true
            return
        }
        if (known != null && known.mayRunTasks && !listing.isLaterThan(known.listing)) {
            movedEntries[known.id] = listing
            unlist(known)
            return
        }
        val rosterLapsedByMillis = known?.takeIf { !it.isReconciled }?.lease?.lapsedByMillis
        if (known != null) tracker.markLost(known, nowMillis, "moved to another address")
        val added = FleetWorker(listing, nowMillis)
        rosterLapsedByMillis?.let(added.lease::record)
        fleet.add(added)
        recorder.markRosterChanged()
        fleet.log(
            "worker-listed",
            listing.ref.id,
            "zone" to listing.availabilityZone,
            "address" to listing.ref.address,
            "milliCpus" to listing.capacity.milliCpus
        )
    }

    /**
     * Counts on stray leases of [worker], of which no answer has come, if [listing] is one of another
     * incarnation than the last owner knew: it may have carried out orders of that owner.
     */
    private fun recordUnknownIncarnation(
        worker: FleetWorker,
        listing: WorkerListing,
        nowMillis: Long
    ) {
        if (worker.isReconciled || worker.hasReported) return
        if (!worker.incarnation.isUnknownToLastOwner(listing)) return
        // Once only: the last owner sends no more orders.
        worker.incarnation.inheritedStartUnixMillis = null
        worker.lease.recordStray(fleet.settings.strayLapsedBy(nowMillis))
        fleet.log(
            "worker-incarnation-unknown",
            worker.id,
            "startedUnixMillis" to listing.startedUnixMillis,
            "leaseLeftMillis" to worker.lease.remainingMillis(nowMillis)
        )
    }

    /** Whether a later entry of the same worker than [listing] was processed. */
    private fun isOutdated(listing: WorkerListing, known: FleetWorker?): Boolean {
        val last = maxOf(
            known?.listing?.revision ?: 0,
            movedEntries[listing.ref.id]?.revision ?: 0
        )
        if (listing.revision >= last) return false
        fleet.log(
            "worker-entry-outdated",
            listing.ref.id,
            "revision" to listing.revision,
            "last" to last
        )
        return true
    }

    /** Marks the worker [id] as no longer listed by the platform. */
    fun onWorkerUnlisted(id: String) {
        movedEntries -= id
        fleet.workers[id]?.let(::unlist)
    }

    private fun unlist(worker: FleetWorker) {
        if (!worker.isListed) return
        worker.unlist()
        fleet.log("worker-unlisted", worker.id, "runs" to worker.placements.size)
    }

    private fun logCapacity(worker: FleetWorker, capacity: Resources) = fleet.log(
        "worker-capacity",
        worker.id,
        "milliCpus" to capacity.milliCpus,
        "memoryMib" to capacity.memoryMib,
        "accelerators" to capacity.accelerators,
        "before" to worker.capacity.milliCpus,
        "firm" to worker.commitments.reservedMilliCpus,
        "memory" to worker.commitments.memoryMib
    )

    /** Logs when the list of workers becomes too old for starts, or current again. */
    fun logListAge(nowMillis: Long) {
        val isCurrent = fleet.capacityReadings.isListCurrent(nowMillis)
        if (isCurrent == isListCurrent) return
        isListCurrent = isCurrent
        fleet.log("worker-list-age", "epoch-${fleet.epoch}", "isCurrent" to isCurrent)
    }

    /** Applies the moved entries of workers whose earlier incarnations have ended meanwhile. */
    fun applyMovedEntries(nowMillis: Long) {
        if (movedEntries.isEmpty()) return
        movedEntries.values.filter {
            it.ref.id !in fleet.workers
        }.forEach { onWorkerListed(it, nowMillis) }
    }

    /**
     * Adds and returns a worker of the last owner's roster, whose lease has lapsed by
     * [lapsedByMillis].
     *
     * If it is listed at another address, tasks may run at either address.
     */
    fun addRosteredWorker(ref: WorkerRef, lapsedByMillis: Long): FleetWorker {
        val worker = fleet.workers[ref.id] ?: placeholder(ref)
        worker.lease.record(lapsedByMillis)
        return worker
    }

    /** Records that the last owner introduced the incarnation that started at [startedMillis]. */
    fun onIncarnationInherited(worker: FleetWorker, startedMillis: Long?, nowMillis: Long) {
        worker.incarnation.inheritedStartUnixMillis = startedMillis
        recordUnknownIncarnation(worker, worker.listing, nowMillis)
    }

    private fun placeholder(ref: WorkerRef): FleetWorker {
        val worker = FleetWorker(placeholderListing(ref), listedMillis = Long.MIN_VALUE / 2)
        worker.unlist()
        fleet.add(worker)
        return worker
    }
}

private val FleetWorker.mayRunTasks: Boolean get() = !isReconciled || placements.isNotEmpty()

private fun placeholderListing(ref: WorkerRef) = WorkerListing(
    ref,
    service = "",
    availabilityZone = "",
    capacity = Resources.NONE,
    labels = emptyList(),
    isDraining = false
)
