/** The state that the parts of the scheduler share: workers, workflows and pending actions. */
package sycamoremast.coordination.workflow

/** The worker set of the owner with [epoch], and the workflows that the owner schedules. */
internal class Fleet(val epoch: Long, val settings: SchedulerSettings) {
    private val byId = LinkedHashMap<String, FleetWorker>()
    private var byLabel: Map<String, List<FleetWorker>>? = null
    val workers: Map<String, FleetWorker> get() = byId

    /** The workers as a list, rebuilt after each change. */
    var workerList: List<FleetWorker> = emptyList()
        get() {
            if (field.isEmpty()) field = byId.values.toList()
            return field
        }
        private set

    /** The workflows that have not ended, or whose end or last run still has to be dealt with. */
    val workflows = LinkedHashMap<String, OpenWorkflow>()

    /** How the others ended: their specifications would fill the memory in time. */
    val endedWorkflows = EndedWorkflows(settings)
    val openTasks = OpenTasks(this)

    /** The workflows that have not ended. */
    val openWorkflows = LinkedHashSet<OpenWorkflow>()
    val outbox = ArrayList<SchedulerAction>()

    /**
     * Whether this owner's lease in the store is valid.
     *
     * While it is, no other owner exists that could extend the leases of workers.
     */
    var isSoleOwner = true

    /** The start time of each worker's incarnation, as last reported. */
    private val startTimes = HashMap<WorkerRef, Long>()

    /** The start times last reported while [isSoleOwner] was true. */
    private val soleOwnerStartTimes = HashMap<WorkerRef, Long>()

    /** Whether something has changed since the last placement that may let a task start. */
    var isPlacementDue = true

    /** Whether the places of all long-running tasks that earlier owners have started are recorded. */
    var arePlacesRecorded = false

    /** Recovered workflows with long-running tasks whose records don't tell their places. */
    val workflowsWithoutPlaces = ArrayList<OpenWorkflow>()

    /** Workflows that may have ended since they were last checked. */
    val endCandidates = LinkedHashSet<OpenWorkflow>()

    /**
     * Whether a roster of this owner is durable.
     *
     * Before that, the next owner relies on the roster of an earlier one, so no lease is granted.
     */
    var isRosterDurable = false

    /**
     * When all leases end, which each heartbeat of this owner moves on that all standbys know of.
     *
     * The next owner counts from the last heartbeat, however long this owner goes on.
     */
    var leaseHorizon = LeaseHorizon.NONE
        private set

    /**
     * Whether the leases that the last owner may have granted are bounded only by the longest time,
     * as no host has told how long it went on, nor enough workers have rejected it.
     */
    var isLastOwnerUnknown = false

    /** The latest owner of which more may be learned, with the workers that limits, or null. */
    var unknownOwner: UnknownOwner? = null

    /** What a roster is to tell of that one: the next owner may know more of it. */
    val recordedUnknownOwner: UnknownOwner?
        get() = unknownOwner
            ?.let { owner ->
                val unreached = owner.unreached.filter { byId[it]?.lease?.isInherited == true }
                owner.copy(unreached = unreached.toSet())
            }
            ?.takeIf { it.unreached.isNotEmpty() }

    /** What the store may tell the next owner about leases of workers. */
    var leaseLimits = LeaseLimits.NONE

    val capacityReadings = CapacityReadings()

    /** How many times placement has examined a worker, as a measure of its cost. */
    var examinedWorkers = 0L

    /** How many starts were ordered. */
    var orderedStarts = 0L

    val fencingTokens = FencingTokens(epoch)

    /** When polls should end so that announced heartbeats count soon, or null in calm times. */
    var pollsEndMillis: Long? = null

    fun add(worker: FleetWorker) {
        byId[worker.id] = worker
        worker.fencingToken = fencingTokens.highest
        resetWorkerIndexes()
    }

    fun remove(worker: FleetWorker) {
        byId -= worker.id
        // Orders to the next worker with this ID carry a higher token.
        fencingTokens.fenceEarlierOrders(worker)
        startTimes -= worker.ref
        soleOwnerStartTimes -= worker.ref
        resetWorkerIndexes()
    }

    /** Records a report of [worker] from the incarnation that started at [startedUnixMillis]. */
    fun recordIncarnation(worker: WorkerRef, startedUnixMillis: Long?) {
        if (startedUnixMillis == null) return
        startTimes[worker] = startedUnixMillis
        if (isSoleOwner) soleOwnerStartTimes[worker] = startedUnixMillis
    }

    /**
     * Whether [worker] is certain to reject this owner's orders if a later owner exists.
     *
     * A worker that has restarted no longer knows the highest epoch that it has seen, so it may
     * accept orders of an owner that has been replaced.
     */
    fun enforcesFencing(worker: WorkerRef): Boolean =
        isSoleOwner || startTimes[worker] == soleOwnerStartTimes[worker]

    /** Deposes this owner unless [worker] rejected [token] because of a later order of its own. */
    fun onTokenRejected(worker: WorkerRef, token: Long) {
        val highest = byId[worker.id]?.takeIf { it.ref == worker }?.fencingToken
            ?: fencingTokens.highest
        if (token < highest) {
            log("order-fenced", worker.id, "token" to token, "highest" to highest)
        } else {
            outbox += SchedulerAction.Depose(worker)
        }
    }

    /** Discards the worker indexes after a worker was added, removed or listed differently. */
    fun resetWorkerIndexes() {
        workerList = emptyList()
        byLabel = null
    }

    /** Returns the workers with [label], which names a kind of worker or a rack. */
    fun workersWith(label: String): List<FleetWorker> {
        val index = byLabel ?: indexByLabel().also { byLabel = it }
        return index[label].orEmpty()
    }

    /** Returns the workers among which one is chosen for a task of [spec]. */
    fun candidates(spec: WorkflowStep): List<FleetWorker> =
        if (spec.requiredLabel.isEmpty()) workerList else workersWith(spec.requiredLabel)

    private fun indexByLabel() = workerList
        .flatMap { worker -> worker.listing.labels.map { it to worker } }
        .groupBy({ it.first }, { it.second })

    fun log(name: String, id: String, vararg fields: Pair<String, Any?>) {
        outbox += SchedulerAction.Log(SchedulerEvent(name, id, mapOf(*fields)))
    }

    /** Records that a heartbeat is formed at [formedMillis]. */
    fun onHeartbeatFormed(formedMillis: Long) =
        byId.values.forEach { it.lease.onHeartbeatFormed(formedMillis) }

    /**
     * Records that all standbys know of the heartbeat formed at [formedMillis], as it [isDurable] or
     * they have acknowledged it.
     */
    fun onHeartbeatKnown(formedMillis: Long, isDurable: Boolean) {
        val next = leaseHorizon.after(formedMillis, isDurable, settings)
        if (next == leaseHorizon) return
        val isLatest = next.knownMillis > leaseHorizon.knownMillis
        leaseHorizon = next
        byId.values.forEach { it.lease.onHeartbeatKnown(formedMillis, isDurable, isLatest) }
        isPlacementDue = true
    }

    /** Whether [worker] takes a start now, with a lease that is worth it. */
    fun acceptsStarts(worker: FleetWorker, nowMillis: Long): Boolean =
        holdOrNull(worker, nowMillis) == null && worker.bars.suspicionOrNull(nowMillis) == null

    /** Returns the end of a lease granted now, on the clock of [worker], or null if there is none. */
    fun leaseEndOrNull(worker: FleetWorker, nowMillis: Long): Long? = worker.lease.endOrNull(
        nowMillis,
        leaseHorizon,
        getsShortLeases(worker),
        settings
    )

    /** Whether [worker] gets short leases, as it drains or its limit in the roster is lifted. */
    fun getsShortLeases(worker: FleetWorker): Boolean =
        worker.listing.isDraining || worker.id in leaseLimits.lifted

    /** Whether [worker] may get a lease, so that what the store may tell of its lease stays true. */
    fun mayGrantLease(worker: FleetWorker): Boolean = when {
        !isRosterDurable -> false
        worker.id in leaseLimits.ended && worker.id !in leaseLimits.lifted -> false
        worker.id in leaseLimits.short -> worker.listing.isDraining && isSoleOwner
        else -> true
    }

    /** Keeps of [workflow] no more than its end if that is durable and none of its runs is left. */
    fun retireIfEnded(workflow: OpenWorkflow) {
        if (!workflow.durablePhase.isFinal || workflow.placedCount > 0) return
        if (workflow.durableChange < workflow.lastChange) return
        if (workflow.isRetired) return
        workflow.isRetired = true
        workflows -= workflow.id
        endedWorkflows.add(workflow.id, workflow.durablePhase, workflow.isCancelled)
    }

    /** Returns the task [name], of which a run was ordered, if its workflow is known. */
    fun taskOrNull(name: TaskName): OpenTask? {
        val workflow = workflows[name.workflow] ?: return null
        openTasks.openStarted(workflow, name.occurrence + 1)
        return workflow.taskOrNull(name)
    }

    /**
     * Whether every worker that may run recovered work has reported it or certainly ended it.
     *
     * A worker that no earlier owner has recorded has got none.
     */
    fun isFleetReconciled(): Boolean = workers.values.all { it.isAccountedFor }

    /** Returns the CPU that all long-running tasks reserve, whether they run or wait. */
    fun longRunningMilliCpus(): Long = openWorkflows.sumOf { it.longRunningMilliCpus }

    /** Returns the number of accepted workflows without a started task, by queue. */
    fun waitingByQueue(): Map<String, Int> =
        openWorkflows.filter { !it.hasBegun }.groupingBy { it.spec.queue.name }.eachCount()

    /** The lowest run number of this epoch. */
    val firstRun: Int get() = ((epoch - 1) * RUNS_PER_EPOCH + 1).toInt()

    fun stop(placement: Placement, nowMillis: Long, reason: String) {
        if (!placement.transition(PlacementEvent.STOP_ORDERED, nowMillis)) return
        log(
            "run-stop",
            placement.task.name.toString(),
            "run" to placement.run,
            "worker" to placement.worker.id,
            "reason" to reason
        )
        sendStop(placement)
    }

    fun sendStop(placement: Placement) {
        val worker = placement.worker
        val order =
            StopOrder(worker.ref, worker.fencingToken, placement.task.name, placement.run)
        outbox += SchedulerAction.Stop(order)
    }

    /** Removes [placement], after which its task may start again. */
    fun release(placement: Placement, nowMillis: Long) {
        placement.transition(PlacementEvent.GONE, nowMillis)
        placement.worker.remove(placement, nowMillis)
        placement.task.release(placement, nowMillis)
        openTasks.discardIfEnded(placement.task.step.workflow)
        retireIfEnded(placement.task.step.workflow)
        isPlacementDue = true
    }

    private companion object {
        /** The size of the range of run numbers that each epoch has for a task. */
        const val RUNS_PER_EPOCH = 1_000L
    }
}
