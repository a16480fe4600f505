/** The in-memory state of a task: its runs, what they have shown, and where the next one may go. */
package sycamoremast.coordination.workflow

/** A task with its placements, of which there is more than one only if copies may run. */
internal class OpenTask(val step: OpenStep, val index: Int) {
    val key = "${step.key}.$index"
    val name = TaskName(step.workflow.id, step.occurrence.number, step.number, index)
    val placements = ArrayList<Placement>(1)
    var isDone = false
        private set
    private val failures = LinkedHashMap<Int, String?>()

    /** The numbers of the failed runs. */
    val failedRuns: Set<Int> get() = failures.keys

    /** The worker of each failed run, or null if an earlier owner recorded the failure. */
    val failedRunWorkers: Map<Int, String?> get() = failures

    /** The numbers of the runs that were stopped as they made no progress. */
    val stalledRuns = LinkedHashSet<Int>()

    /** The workers of those that this owner has stopped. */
    val stalledOn = HashSet<String>()
    var lastRun = 0

    /** The task for which what a run shows counts: the first of a gang, whose runs are one. */
    val counted: OpenTask get() = if (step.spec.isGang) step.tasks.first() else this

    /** The crashes for which the task may be to blame, or null if there are none. */
    var crashHistory: CrashHistory? = null
    val recordedHistory: CrashHistory? get() = crashHistory.takeIf { !isDone }
    var checkpoint = ""
    var notBeforeMillis = Long.MIN_VALUE

    /** Since when the task has had no placement, or since its workflow was accepted. */
    var waitingSinceMillis = step.workflow.acceptedMillis
        private set

    /** When a worker last showed a run that has ended, or when this owner first knew the task. */
    private var lastShownMillis = step.workflow.knownMillis

    /** Since when no worker that answers shows a run of the task, or null if one does. */
    val offSinceMillis: Long?
        get() {
            val seen = placements.filter { it.wasSeen }
            return when {
                isDone || seen.any { it.worker.contactFailures == 0 } -> null
                else -> seen.maxOfOrNull { it.worker.lastShownMillis } ?: lastShownMillis
            }
        }

    /** Whether the worker on which the task may run is recorded before it starts. */
    val hasRecordedPlace: Boolean get() = step.spec.isLongRunning && !step.spec.isGang

    /** The worker on which the task may run, or null if it has had none. */
    var place: String? = null
        private set

    /** The change of the workflow by which [place] is durable. */
    var placeChange = 0L
        private set
    private var wasPlaced = false

    /** Whether a run of the task has been placed, by an earlier owner perhaps. */
    val hasRun: Boolean
        get() = lastRun > 0 || wasPlaced || (!step.workflow.areRunsKnown && step.workflow.hasBegun)

    /** The worker that has room reserved for the next run, or null. */
    var destination: FleetWorker? = null

    /** The worker on which the last failed run ran. */
    var lastFailedWorkerId: String? = null

    /** Records the failure of [run] on [workerId]; returns whether it was not recorded before. */
    fun recordFailure(run: Int, workerId: String): Boolean {
        if (run in failures) return false
        failures[run] = workerId
        return true
    }

    fun restoreFailures(recorded: Set<Int>) {
        recorded.forEach { failures.putIfAbsent(it, null) }
        lastRun = maxOf(lastRun, recorded.maxOrNull() ?: 0)
    }

    fun restoreStalls(recorded: Set<Int>) {
        stalledRuns += recorded
        lastRun = maxOf(lastRun, recorded.maxOrNull() ?: 0)
    }

    fun restoreCrashes(progress: WorkflowProgress) {
        val recorded = progress.crashes[key] ?: return
        val explained = progress.explainedCrashes[key].orEmpty()
        crashHistory = CrashHistory().apply { restore(recorded, explained) }
        lastRun = maxOf(lastRun, recorded.maxOrNull() ?: 0)
    }

    /** Sets the [place] by a [change] of the workflow. */
    fun setPlace(workerId: String, change: Long) {
        place = workerId
        placeChange = change
    }

    fun restorePlace(workerId: String) {
        place = workerId
        wasPlaced = true
    }

    fun markDone() {
        if (isDone) return
        isDone = true
        step.doneCount++
        step.waiting -= this
        step.workflow.onTasksChanged()
    }

    fun place(placement: Placement) {
        placements += placement
        step.workflow.onPlaced()
        lastRun = maxOf(lastRun, placement.run)
        step.waiting -= this
        step.workflow.onTasksChanged()
    }

    /** Removes [placement]; the task waits again if it is not done and has no other placement. */
    fun release(placement: Placement, nowMillis: Long) {
        if (placements.remove(placement)) step.workflow.onReleased()
        if (placement.wasSeen) {
            val isReachable = placement.worker.contactFailures == 0
            lastShownMillis = if (isReachable) nowMillis else placement.worker.lastShownMillis
        }
        waitingSinceMillis = nowMillis
        if (!isDone && placements.isEmpty()) step.waiting += this
        step.workflow.onTasksChanged()
    }
}
