/**
 * The decisions of the owner of a worker set: where tasks run, what is recorded and what is
 * retried.
 *
 * Nothing here blocks, reads a clock or starts a thread. The caller reports each event by a
 * function call, then calls [WorkflowScheduler.step] and carries out the actions that it returns.
 */
package sycamoremast.coordination.workflow

/** Schedules workflows on the workers of one set, as the owner with [epoch]. */
class WorkflowScheduler(val epoch: Long, settings: SchedulerSettings) {
    private val fleet = Fleet(epoch, settings)
    private val tails = TailModel()
    private val standbys = Standbys(fleet)
    private val recorder = Recorder(fleet, tails, standbys)
    private val forecast = HeadroomForecast()
    private val colocation = ColocationController(fleet, tails, forecast)
    private val crashes = CrashLedger(fleet, recorder)
    private val tracker = RunTracker(fleet, recorder, colocation, crashes)
    private val neighbours = NeighbourAdmission(tails, forecast, colocation)
    private val obstacles = PlacementObstacles(fleet)
    private val reserve = ShortTaskReserve(fleet)
    private val placer = Placer(fleet, obstacles, reserve, neighbours)
    private val futureRoom = FutureRoom(fleet, obstacles, reserve)
    private val places = TaskPlaces(fleet, recorder)
    private val orders = StartOrders(fleet, crashes)
    private val starter = Starter(fleet, placer, neighbours, crashes, places, orders)
    private val restarts = TaskRestarts(fleet, futureRoom, starter)
    private val moves = TaskMoves(fleet)
    private val evacuation = Evacuation(fleet, placer, moves)
    private val consolidation = Consolidation(fleet, placer, moves, tails)
    private val maintenance = RunMaintenance(fleet, tracker, recorder)
    private val directory = WorkerDirectory(fleet, tracker, recorder)
    private val inheritedLeases = InheritedLeases(fleet)
    private val recoveryWait = RecoveryWait(fleet, places)
    private val offTasks = OffTasks(fleet, placer, TaskHolds(fleet, placer, places, crashes))
    private val pendingCancels = HashSet<String>()

    /**
     * Whether earlier owners have recorded the places of all long-running tasks, as the last roster
     * says; to be set before recovered workflows are added.
     */
    var arePlacesRecorded: Boolean by fleet::arePlacesRecorded

    /** What this owner shares with others that succeed it or that it succeeds. */
    val succession = Succession(fleet, standbys, inheritedLeases, directory)

    /** How many times placement has examined a worker, as a measure of its cost. */
    val examinedWorkers: Long get() = fleet.examinedWorkers
    private var nextPlacementMillis = Long.MIN_VALUE
    private var nextMaintenanceMillis = Long.MIN_VALUE

    /**
     * Adds an accepted [workflow], with the [progress] that an earlier owner recorded.
     *
     * If it [isRecovered], an earlier owner may have started tasks of it.
     */
    fun onWorkflowAccepted(
        workflow: Workflow,
        progress: WorkflowProgress?,
        isRecovered: Boolean,
        nowMillis: Long,
        unixMillis: Long
    ) {
        if (workflow.id in fleet.workflows || workflow.id in fleet.endedWorkflows) return
        if (progress?.phase?.isFinal == true) {
            return onEndedWorkflow(workflow.id, progress, nowMillis, unixMillis)
        }
        val age = (unixMillis - workflow.submittedMillis).coerceIn(0, MAX_AGE_MILLIS)
        val open = OpenWorkflow(workflow, isRecovered, nowMillis - age, nowMillis)
        fleet.workflows[workflow.id] = open
        if (progress != null) open.restore(progress)
        if (isRecovered && open.isLongRunning) {
            open.arePlacesKnown =
                fleet.arePlacesRecorded &&
                (progress == null || progress.places != null)
            open.areRunsKnown = open.arePlacesKnown
            if (!open.arePlacesKnown) fleet.workflowsWithoutPlaces += open
        }
        fleet.openWorkflows += open
        fleet.endCandidates += open
        if (progress != null) {
            fleet.openTasks.openStarted(open, progress.startedOccurrences)
            open.restoreTasks(progress)
            crashes.onRestored(open)
        }
        fleet.openTasks.openDue(open, unixMillis)
        fleet.isPlacementDue = true
        fleet.log(
            "workflow-known",
            workflow.id,
            "queue" to workflow.queue.name,
            "ageMillis" to age,
            "recovered" to isRecovered,
            "longRunning" to open.isLongRunning,
            "objectiveMillis" to open.objectiveMillis - nowMillis
        )
        val isCancelled = pendingCancels.remove(workflow.id)
        if (isCancelled) onWorkflowCancelled(workflow.id, nowMillis, unixMillis)
    }

    /** Adds the workflow [id], which ended in an earlier term as [progress] tells. */
    fun onEndedWorkflow(id: String, progress: WorkflowProgress, nowMillis: Long, unixMillis: Long) {
        val ended = fleet.endedWorkflows
        val dueMillis =
            ended.dueMillis(progress.phase, progress.endedUnixMillis, nowMillis, unixMillis)
        ended.add(id, progress.phase, dueMillis)
        if (pendingCancels.remove(id)) ended.onCancelled(id)
    }

    /** Forgets the workflow [id], whose records an owner has deleted. */
    fun onWorkflowDeleted(id: String) = fleet.endedWorkflows.remove(id)

    /** Ends the workflow [id], which was cancelled, now or once it is accepted. */
    fun onWorkflowCancelled(id: String, nowMillis: Long, unixMillis: Long) {
        if (id in fleet.endedWorkflows) return fleet.endedWorkflows.onCancelled(id)
        val workflow = fleet.workflows[id]
        if (workflow == null) {
            pendingCancels += id
            return
        }
        workflow.isCancelled = true
        if (!workflow.isOpen) return
        end(workflow, WorkflowPhase.CANCELLED, nowMillis, unixMillis)
    }

    /** Updates the fleet from the complete list of the platform. */
    fun onWorkersListed(workers: List<WorkerListing>, nowMillis: Long) =
        directory.onWorkersListed(workers, nowMillis)

    /** Updates the fleet from the platform's entry of one worker. */
    fun onWorkerListed(listing: WorkerListing, nowMillis: Long) =
        directory.onWorkerListed(listing, nowMillis)

    /** Records that all changes up to [asOfMillis] of the platform's list were reported. */
    fun onWorkersConfirmed(asOfMillis: Long) = fleet.capacityReadings.onConfirmed(asOfMillis)

    /** Marks the worker [id] as no longer listed by the platform. */
    fun onWorkerUnlisted(id: String) = directory.onWorkerUnlisted(id)

    /**
     * Adds a worker of the last owner's roster, whose lease has lapsed by [lapsedByMillis].
     *
     * If it is listed at another address, tasks may run at either address.
     */
    fun addRosteredWorker(ref: WorkerRef, lapsedByMillis: Long) {
        directory.addRosteredWorker(ref, lapsedByMillis)
    }

    /** Adds what an earlier owner has learned about interference between tasks. */
    fun restoreInterference(record: InterferenceRecord, unixMillis: Long) {
        val restored = tails.restore(record, unixMillis)
        fleet.log(
            "interference-restored",
            "epoch-${fleet.epoch}",
            "pairs" to restored,
            "ageMillis" to unixMillis - record.writtenUnixMillis
        )
    }

    /**
     * Applies the current policies by queue; a workflow of a queue without one keeps its own.
     *
     * Workers of [guardingServices] reject a start that exceeds their capacity.
     */
    fun updatePolicies(queues: Map<String, QueuePolicy>, guardingServices: Set<String>) {
        if (guardingServices != fleet.capacityReadings.guardingServices) {
            val services = guardingServices.joinToString(",")
            fleet.log("guarding-services", "epoch-${fleet.epoch}", "services" to services)
        }
        fleet.capacityReadings.guardingServices = guardingServices
        for (workflow in fleet.openWorkflows) {
            workflow.queue = queues[workflow.spec.queue.name] ?: continue
            fleet.endCandidates += workflow
        }
        fleet.isPlacementDue = true
    }

    /** Processes the answer to a start. */
    fun onStartAnswer(order: StartOrder, answer: WorkerAnswer, nowMillis: Long) =
        tracker.onStartAnswer(order, answer, nowMillis)

    /** Processes the answer to a stop. */
    fun onStopAnswer(order: StopOrder, answer: WorkerAnswer, nowMillis: Long) =
        tracker.onStopAnswer(order, answer, nowMillis)

    /** Processes the answer to a poll. */
    fun onPollAnswer(order: PollOrder, answer: WorkerAnswer, nowMillis: Long) {
        val report = (answer as? WorkerAnswer.Reported)?.report
        if (report != null) fleet.recordIncarnation(order.worker, report.startedUnixMillis)
        tracker.onPollAnswer(order, answer, nowMillis)
    }

    /** Processes the answer to a change of pace. */
    fun onPaceAnswer(order: PaceOrder, answer: WorkerAnswer, nowMillis: Long) {
        if (answer is WorkerAnswer.Rejected && answer.reason == RejectReason.STALE_TOKEN) {
            fleet.log("pace-rejected", order.task.toString(), "atMillis" to nowMillis)
            fleet.onTokenRejected(order.worker, order.fencingToken)
            colocation.repeatPace(order, nowMillis)
        }
    }

    /** Marks the last batch as durable; returns the statuses that callers may now see, by ID. */
    fun onBatchDurable(): Map<String, WorkflowStatus> =
        recorder.onBatchDurable().associate { it.id to it.durableStatus }

    /** Returns the number of accepted workflows without a started task, by queue. */
    fun waitingByQueue(): Map<String, Int> = fleet.waitingByQueue()

    /** Returns the phase that callers may see of the workflow [id], or null if it is unknown. */
    fun phaseOrNull(id: String): WorkflowPhase? {
        val workflow = fleet.workflows[id] ?: return fleet.endedWorkflows.phaseOrNull(id)
        return if (workflow.phase.isFinal) workflow.durablePhase else workflow.phase
    }

    /**
     * Decides and returns the actions that are due at [nowMillis].
     *
     * An owner that is not certainly the [sole owner][isSoleOwner] considers no lease as lapsed.
     */
    fun step(
        nowMillis: Long,
        unixMillis: Long,
        isSoleOwner: Boolean = true
    ): List<SchedulerAction> {
        if (isSoleOwner != fleet.isSoleOwner) {
            fleet.log("sole-owner", "epoch-${fleet.epoch}", "isSoleOwner" to isSoleOwner)
            fleet.isSoleOwner = isSoleOwner
        }
        if (nowMillis >= nextMaintenanceMillis) {
            nextMaintenanceMillis = nowMillis + MAINTENANCE_INTERVAL_MILLIS
            maintenance.step(nowMillis)
            crashes.step(nowMillis, places::isFree)
            evacuation.step(nowMillis)
            consolidation.step(nowMillis)
            directory.applyMovedEntries(nowMillis)
            directory.logListAge(nowMillis)
        }
        recoveryWait.step(nowMillis)
        endWorkflows(nowMillis, unixMillis)
        orders.step(nowMillis)
        if (fleet.isPlacementDue ||
            nowMillis >= nextPlacementMillis
        ) {
            placeWaiting(nowMillis, unixMillis)
        }
        offTasks.step(nowMillis)
        recorder.step(nowMillis, unixMillis)
        standbys.step(nowMillis)
        inheritedLeases.step(nowMillis)
        maintenance.poll(nowMillis)
        val actions = fleet.outbox.toList()
        fleet.outbox.clear()
        return actions
    }

    /**
     * Returns the batch to record for the next owner if no order is sent after [nowMillis].
     *
     * An owner that has granted no lease and doesn't know how long the last one went on leaves that
     * one's roster in place: the next owner may know, or learn it from the standbys named there.
     */
    fun handoverBatch(nowMillis: Long, unixMillis: Long): RecordBatch {
        val workers = fleet.workers.values.takeIf {
            recorder.hasSentRoster || !fleet.isLastOwnerUnknown
        }
        val left = workers.orEmpty().associate { it.id to it.lease.remainingMillis(nowMillis) }
        return RecordBatch(
            progress = emptyMap(),
            roster = workers?.map { it.ref },
            waiting = null,
            leasesLeft = LeasesLeft(left, stray = fleet.strayLeasesLeft(nowMillis)),
            interference = tails.record(unixMillis),
            recordsPlaces = fleet.arePlacesRecorded,
            lastAnnounced = standbys.lastNumber,
            unknown = workers?.let { fleet.recordedUnknownOwner },
            incarnations = fleet.recordedIncarnations()
        )
    }

    /** Returns how long to wait for an event before the next [step]. */
    fun waitMillis(nowMillis: Long): Long {
        val record = recorder.dueMillisOrNull() ?: Long.MAX_VALUE
        val due = minOf(record, nowMillis + TICK_MILLIS)
        return (due - nowMillis).coerceIn(1, TICK_MILLIS)
    }

    private fun endWorkflows(nowMillis: Long, unixMillis: Long) {
        val changed = fleet.endCandidates.filter { it.isOpen }
        fleet.endCandidates.clear()
        for (workflow in changed) {
            val failure = workflow.findFailureOrNull()
            when {
                failure != null ->
                    end(workflow, WorkflowPhase.FAILED, nowMillis, unixMillis, failure)

                workflow.isDone -> end(workflow, WorkflowPhase.COMPLETED, nowMillis, unixMillis)
            }
        }
    }

    private fun end(
        workflow: OpenWorkflow,
        phase: WorkflowPhase,
        nowMillis: Long,
        unixMillis: Long,
        cause: WorkflowFailure? = null
    ) {
        if (cause != null) {
            fleet.log(
                "workflow-failed",
                workflow.id,
                "task" to cause.task,
                "reason" to cause.reason,
                "runs" to cause.runs.joinToString(","),
                "runCount" to cause.runCount,
                "maxAttempts" to workflow.queue.maxAttempts
            )
        }
        workflow.end(phase, unixMillis, cause)
        fleet.openWorkflows -= workflow
        colocation.removeBaselines(workflow)
        recorder.markChanged(workflow)
        fleet.log(
            "workflow-ended",
            workflow.id,
            "phase" to phase,
            "ageMillis" to nowMillis - workflow.acceptedMillis,
            "lateMillis" to nowMillis - workflow.objectiveMillis
        )
        workflow.steps().flatMap { it.tasks }.flatMap { it.placements.toList() }
            .toList().forEach { fleet.stop(it, nowMillis, "workflow ended") }
        fleet.openTasks.discardIfEnded(workflow)
    }

    private fun placeWaiting(nowMillis: Long, unixMillis: Long) {
        fleet.isPlacementDue = false
        nextPlacementMillis = nowMillis + PLACEMENT_RETRY_MILLIS
        places.step()
        fleet.openWorkflows.forEach { fleet.openTasks.openDue(it, unixMillis) }
        val placeable = fleet.openWorkflows.filter { it.hasReadyTasks && places.mayBeFree(it) }
        val order = PlacementOrder(nowMillis).sorted(placeable)
        starter.beginRound()
        restarts.step(order, nowMillis)
        for (workflow in order) {
            // Long-running tasks pack better together, so each waits a moment for others.
            val isSettling = nowMillis < workflow.acceptedMillis + SETTLE_MILLIS
            if (workflow.isLongRunning && isSettling) continue
            for (step in workflow.steps()) {
                if (step.hasReadyTasks) starter.startWaiting(step, nowMillis)
            }
        }
    }

    private companion object {
        /** Much shorter than the seconds that a long-running task may take to start. */
        const val SETTLE_MILLIS = 250L

        /** How often leases, stops and stuck runs are checked; all their timeouts are longer. */
        const val MAINTENANCE_INTERVAL_MILLIS = 20L

        /** The longest time by which a timer of the scheduler may fire late. */
        const val TICK_MILLIS = 50L

        /** How often placement is retried without an event, for pauses that end by time. */
        const val PLACEMENT_RETRY_MILLIS = 100L

        /** Limits the age of a submission, which relies on the gateways' clocks. */
        const val MAX_AGE_MILLIS = 600_000L
    }
}
