/** The in-memory state of the workflows that an owner schedules, with their steps and tasks. */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.record.IndexSet

/**
 * A workflow that the owner schedules.
 *
 * If it [isRecovered], an earlier owner may have started runs that this owner has not found yet.
 * [objectiveMillis] is the time, on the owner's clock, by which its caller wants it completed, and
 * [knownMillis] when this owner first knew of it.
 */
internal class OpenWorkflow(
    val spec: Workflow,
    val isRecovered: Boolean,
    val acceptedMillis: Long,
    val knownMillis: Long = acceptedMillis
) {
    var phase = WorkflowPhase.QUEUED
        private set
    var durablePhase = WorkflowPhase.QUEUED

    /** The number of the last change to the workflow, and of the last change that is durable. */
    var lastChange = 0L
    var durableChange = 0L
    var hasBegun = false

    /** Whether the place of each long-running task is known that has been started. */
    var arePlacesKnown = !isRecovered

    /** Whether the records of earlier owners, if any, tell which of these tasks have run. */
    var areRunsKnown = !isRecovered
    var endedUnixMillis = 0L

    /** Whether the owner keeps no more than its end, which is durable. */
    var isRetired = false

    /** Whether the store holds a cancellation of it. */
    var isCancelled = false

    /** Why the workflow failed, or null if it did not or that is not known. */
    var failure: WorkflowFailure? = null
        private set
    var queue = spec.queue
    val occurrences = ArrayList<OpenOccurrence>()

    /** The number of runs of its tasks that may take room on workers. */
    var placedCount = 0
        private set

    /** Whether its tasks wait for tasks of other workflows to end, as too many are open. */
    var isHeldBack = false
    val id: String get() = spec.id
    val isLongRunning = spec.steps.any { it.isLongRunning }
    val longRunningMilliCpus = spec.steps.filter { it.isLongRunning && !it.usesIdleCpu }
        .sumOf { it.demand.milliCpus * it.taskCount }
    val isOpen: Boolean get() = !phase.isFinal

    /** What is durable of the phase, and of why the workflow failed. */
    val durableStatus: WorkflowStatus
        get() = WorkflowStatus(
            durablePhase,
            failure.takeIf { durablePhase == WorkflowPhase.FAILED }
        )

    val objectiveMillis: Long =
        acceptedMillis + spec.queue.targetLatencyMillis +
            (criticalPathMillis { _, step -> step.estimateMillis } * spec.queue.stretch).toLong()

    /** The CPU time that all tasks of one occurrence take, by their estimates. */
    val totalCoreMillis: Double = spec.steps.sumOf { coreMillis(it, it.taskCount) }

    private var cachedCoreMillis: Double? = null
    private var cachedMillis: Long? = null
    private var cachedHasReadyTasks: Boolean? = null

    /** The CPU time that tasks which are not done take, by their estimates. */
    val remainingCoreMillis: Double get() = cachedCoreMillis
        ?: steps().sumOf { coreMillis(it.spec, it.tasks.size - it.doneCount) }
            .also { cachedCoreMillis = it }

    private fun coreMillis(step: WorkflowStep, taskCount: Int): Double =
        taskCount * step.estimateMillis * step.demand.milliCpus / MILLIS_PER_CORE

    /** How long the workflow takes from now on if no task has to wait for a worker. */
    val remainingMillis: Long get() = cachedMillis
        ?: longestOccurrenceMillis().also { cachedMillis = it }

    /** Accounts for a change of its tasks, or of which of them wait or are done. */
    fun onTasksChanged() {
        cachedCoreMillis = null
        cachedMillis = null
        cachedHasReadyTasks = null
    }

    private fun longestOccurrenceMillis(): Long = occurrences.maxOfOrNull { occurrence ->
        criticalPathMillis { i, step ->
            if (occurrence.steps[i].isDone) 0 else step.estimateMillis
        }
    } ?: criticalPathMillis { _, step -> step.estimateMillis }

    fun end(final: WorkflowPhase, unixMillis: Long, cause: WorkflowFailure? = null) {
        phase = final
        failure = cause
        endedUnixMillis = unixMillis
    }

    fun onPlaced() {
        placedCount++
    }

    fun onReleased() {
        placedCount--
    }

    /** Discards the tasks, which are not needed once the workflow and all its runs have ended. */
    fun discardTasks() {
        occurrences.clear()
        onTasksChanged()
    }

    fun begin() {
        hasBegun = true
        if (phase == WorkflowPhase.QUEUED) phase = WorkflowPhase.RUNNING
    }

    /** Whether an occurrence is due at [unixMillis] whose tasks are not open yet. */
    fun hasDueOccurrence(unixMillis: Long): Boolean {
        val recurrence = spec.recurrence
        val number = occurrences.size
        if (number >= (recurrence?.count ?: 1)) return false
        return recurrence == null || recurrence.dueUnixMillis(number) <= unixMillis
    }

    /** Opens the tasks of the next occurrence. */
    fun addOccurrence() {
        occurrences += OpenOccurrence(this, occurrences.size)
        onTasksChanged()
    }

    val isDone: Boolean
        get() = occurrences.size == (spec.recurrence?.count ?: 1) && occurrences.all { it.isDone }

    val hasReadyTasks: Boolean get() = cachedHasReadyTasks
        ?: occurrences.any { o -> o.steps.any { it.hasReadyTasks } }
            .also { cachedHasReadyTasks = it }

    fun steps(): Sequence<OpenStep> = occurrences.asSequence().flatMap { it.steps }

    /** Returns why the workflow has to be given up, or null if no task gives a reason. */
    fun findFailureOrNull(): WorkflowFailure? = steps().flatMap { it.tasks }.firstNotNullOfOrNull {
        val history = it.crashHistory
        when {
            it.failedRuns.size >= queue.maxAttempts ->
                WorkflowFailure.of(it.name, FailureReason.ATTEMPTS_USED_UP, it.failedRunWorkers)

            history?.isGivenUp == true ->
                WorkflowFailure.of(it.name, FailureReason.WORKERS_CRASHED, history.runWorkers)

            else -> null
        }
    }

    fun taskOrNull(name: TaskName): OpenTask? =
        occurrences.getOrNull(name.occurrence)?.steps?.getOrNull(name.step)
            ?.tasks?.getOrNull(name.index)

    fun progress() = WorkflowProgress(
        phase = phase,
        doneTasks = if (isOpen) doneTasks() else emptyMap(),
        failures = if (isOpen) perTask(::recordedFailures) else emptyMap(),
        checkpoints = if (isOpen) perTask(::recordedCheckpoint) else emptyMap(),
        hasBegun = hasBegun,
        endedUnixMillis = endedUnixMillis,
        failure = failure,
        crashes = if (isOpen) perTask { it.recordedHistory?.runs?.toSet() } else emptyMap(),
        explainedCrashes =
        if (isOpen) perTask { it.recordedHistory?.explainedRunsOrNull } else emptyMap(),
        places = if (isOpen && isLongRunning && arePlacesKnown) perTask { it.place } else null,
        stalls = if (isOpen) perTask(::recordedStalls) else emptyMap()
    )

    /** Restores the progress that an earlier owner recorded. */
    fun restore(progress: WorkflowProgress) {
        phase = progress.phase
        durablePhase = progress.phase
        hasBegun = progress.hasBegun
        endedUnixMillis = progress.endedUnixMillis
        failure = progress.failure
    }

    /** Restores what [progress] tells of the tasks that are open. */
    fun restoreTasks(progress: WorkflowProgress) {
        for (step in steps()) {
            progress.doneTasks[step.key]?.toList()?.mapNotNull(step.tasks::getOrNull)
                ?.forEach { it.markDone() }
            for (task in step.tasks) {
                progress.failures[task.key]?.let(task::restoreFailures)
                task.restoreCrashes(progress)
                progress.stalls[task.key]?.let(task::restoreStalls)
                if (arePlacesKnown) progress.places?.get(task.key)?.let(task::restorePlace)
                task.checkpoint = progress.checkpoints[task.key].orEmpty()
            }
        }
    }

    private fun doneTasks(): Map<String, IndexSet> = steps().filter { it.doneCount > 0 }
        .associate { s -> s.key to IndexSet.EMPTY + s.tasks.filter { it.isDone }.map { it.index } }

    private fun recordedFailures(task: OpenTask): Set<Int>? =
        task.failedRuns.takeIf { it.isNotEmpty() }?.toSet()

    private fun recordedStalls(task: OpenTask): Set<Int>? =
        task.stalledRuns.takeIf { it.isNotEmpty() && !task.isDone }?.toSet()

    private fun recordedCheckpoint(task: OpenTask): String? =
        task.checkpoint.takeIf { it.isNotEmpty() && !task.isDone && task.placements.isEmpty() }

    private fun <T : Any> perTask(value: (OpenTask) -> T?): Map<String, T> = buildMap {
        for (step in steps()) for (task in step.tasks) value(task)?.let { put(task.key, it) }
    }

    /** Returns the length of the longest chain of steps, each of which takes [millis]. */
    private fun criticalPathMillis(millis: (Int, WorkflowStep) -> Long): Long {
        val finishMillis = LongArray(spec.steps.size)
        for ((i, step) in spec.steps.withIndex()) {
            val startMillis =
                step.after.filter { it in 0 until i }.maxOfOrNull { finishMillis[it] } ?: 0L
            finishMillis[i] = startMillis + millis(i, step)
        }
        return finishMillis.max()
    }

    private companion object {
        const val MILLIS_PER_CORE = 1_000.0
    }
}

/** Occurrence [number] of [workflow]. */
internal class OpenOccurrence(val workflow: OpenWorkflow, val number: Int) {
    val steps = workflow.spec.steps.mapIndexed { i, spec -> OpenStep(this, i, spec) }
    val isDone: Boolean get() = steps.all { it.isDone }
}

/** A step of an occurrence. */
internal class OpenStep(val occurrence: OpenOccurrence, val number: Int, val spec: WorkflowStep) {
    val workflow: OpenWorkflow get() = occurrence.workflow
    val key = "${occurrence.number}.$number"
    val tasks = List(spec.taskCount) { OpenTask(this, it) }

    /** Tasks that are neither done nor placed anywhere. */
    val waiting = LinkedHashSet(tasks)
    var doneCount = 0
    val isDone: Boolean get() = doneCount == tasks.size

    val hasReadyTasks: Boolean get() = waiting.isNotEmpty() && isReady

    /** Whether every step that this one waits for is done. */
    val isReady: Boolean
        get() = spec.after.all { occurrence.steps.getOrNull(it)?.isDone ?: true }
}
