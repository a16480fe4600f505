/** The state that the parts of the scheduler share: workers, workflows, and what is to be done. */
package sycamoremast.coordination.workflow

/** The worker set of an owner with [epoch], and the workflows that it schedules. */
internal class Fleet(val epoch: Long, val settings: SchedulerSettings) {
    private val byId = LinkedHashMap<String, FleetWorker>()
    private var byLabel: Map<String, List<FleetWorker>>? = null
    val workers: Map<String, FleetWorker> get() = byId

    /** The workers in a list, which is made anew after each change. */
    var workerList: List<FleetWorker> = emptyList()
        get() {
            if (field.isEmpty()) field = byId.values.toList()
            return field
        }
        private set
    val workflows = LinkedHashMap<String, OpenWorkflow>()

    /** The workflows that are not ended. */
    val openWorkflows = LinkedHashSet<OpenWorkflow>()
    val outbox = ArrayList<SchedulerAction>()

    /** Whether this owner's lease in the store is valid, so that nobody else prolongs leases. */
    var isSoleOwner = true

    /** The starts of workers' lives, as reported last, and last while this was the sole owner. */
    private val startTimes = HashMap<WorkerRef, Long>()
    private val soleOwnerStartTimes = HashMap<WorkerRef, Long>()

    /** Whether something changed that may let a task start. */
    var isPlacementDue = true

    /** Workflows that may have ended since they were last looked at. */
    val endCandidates = LinkedHashSet<OpenWorkflow>()

    /** How many workers placement has looked at, as a measure of its cost. */
    var examinedWorkers = 0L

    fun add(worker: FleetWorker) {
        byId[worker.id] = worker
        resetWorkerIndexes()
    }

    fun remove(worker: FleetWorker) {
        byId -= worker.id
        startTimes -= worker.ref
        soleOwnerStartTimes -= worker.ref
        resetWorkerIndexes()
    }

    /** Takes in that [worker] reported in the incarnation that started at [startedUnixMillis]. */
    fun recordIncarnation(worker: WorkerRef, startedUnixMillis: Long?) {
        if (startedUnixMillis == null) return
        startTimes[worker] = startedUnixMillis
        if (isSoleOwner) soleOwnerStartTimes[worker] = startedUnixMillis
    }

    /**
     * Whether [worker] would refuse this owner's orders if there were another owner.
     *
     * A worker that started anew has forgotten the epoch of an owner that may have claimed meanwhile.
     */
    fun enforcesFencing(worker: WorkerRef): Boolean =
        isSoleOwner || startTimes[worker] == soleOwnerStartTimes[worker]

    /** Takes in that workers came or went, or that their listings changed. */
    fun resetWorkerIndexes() {
        workerList = emptyList()
        byLabel = null
    }

    /** Returns the workers that carry [label], which may name a kind or a rack. */
    fun workersWith(label: String): List<FleetWorker> {
        val index = byLabel ?: indexByLabel().also { byLabel = it }
        return index[label].orEmpty()
    }

    private fun indexByLabel() = workerList
        .flatMap { worker -> worker.listing.labels.map { it to worker } }
        .groupBy({ it.first }, { it.second })

    fun log(name: String, id: String, vararg fields: Pair<String, Any?>) {
        outbox += SchedulerAction.Log(SchedulerEvent(name, id, mapOf(*fields)))
    }

    fun taskOrNull(name: TaskName): OpenTask? = workflows[name.workflow]?.taskOrNull(name)

    /** Whether every worker that may run recovered work has answered or surely stopped it. */
    fun isFleetReconciled(): Boolean = workers.values.all { it.isReconciled }

    /** Returns the processors that all long-running tasks reserve, running or waiting. */
    fun longRunningMilliCpus(): Long = openWorkflows.sumOf { it.longRunningMilliCpus }

    /** Returns the number of accepted workflows without a started task, by queue. */
    fun waitingByQueue(): Map<String, Int> =
        openWorkflows.filter { !it.hasBegun }.groupingBy { it.spec.queue.name }.eachCount()

    /** Returns the least number for a run of this epoch. */
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
        val order = StopOrder(placement.worker.ref, epoch, placement.task.name, placement.run)
        outbox += SchedulerAction.Stop(order)
    }

    /** Forgets [placement], after which its task may start again. */
    fun release(placement: Placement, nowMillis: Long) {
        placement.transition(PlacementEvent.GONE, nowMillis)
        placement.worker.remove(placement, nowMillis)
        placement.task.release(placement)
        isPlacementDue = true
    }

    private companion object {
        /** The runs of one task that an epoch may number before they meet those of the next. */
        const val RUNS_PER_EPOCH = 1_000L
    }
}
