/** The emulated workers of a load pattern, with the tail latencies of their serving tasks. */
package sycamoremast.emulator

import kotlin.random.Random
import sycamoremast.coordination.workflow.RunEnd
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkerListing
import sycamoremast.coordination.workflow.WorkerRef

/** The workers of [pattern]; the interference between images is drawn from [random]. */
internal class EmulatedFleet(private val pattern: LoadPattern, private val random: Random) {
    private val interference = (0 until EmulatedLoad.SERVING_IMAGES).flatMap { serving ->
        (0 until EmulatedLoad.IDLE_CPU_IMAGES).map { other ->
            val isHeavy = random.nextDouble() < pattern.heavyShare
            (serving to other) to
                if (isHeavy) random.nextDouble(MIN_HEAVY, MAX_HEAVY) else pattern.lightLoad
        }
    }.toMap()
    private val workers = (0 until pattern.workers).map {
        val sizeFactor = if (it % LARGE_WORKER_INTERVAL == 0) LARGE_WORKER_FACTOR else 1.0
        val milliCpus = (pattern.milliCpus * sizeFactor).toLong()
        EmulatedWorker("w$it", milliCpus, pattern, interference)
    }.associateBy { it.id }
    private var lastRevision = 0L
    private var servingScore = 0.0
    private var servingSamples = 0

    /** The longest uninterrupted time that a serving task spent over its target tail latency. */
    var longestOverTargetMillis = 0L
        private set

    /**
     * The share of the serving tasks' samples that meet the target tail latency.
     *
     * Each sample over the target subtracts [OVER_TARGET_PENALTY] samples.
     */
    val servingShare: Double get() = if (servingSamples == 0) 1.0 else servingScore / servingSamples
    val milliCpus: Long get() = workers.values.sumOf { it.milliCpus }

    /** When each serving task that is off was stopped, or lost with its worker. */
    private val offSinceMillis = HashMap<TaskName, Long>()

    /** The longest time that a serving task was off before it started again. */
    var longestOffMillis = 0L
        private set

    /** The number of serving tasks that have run and are off now. */
    val tasksOff: Int get() = offSinceMillis.size

    private val shrinkingIds =
        first(pattern.shrinkingWorkers?.count ?: 0).mapTo(HashSet()) { it.id }

    /** Checks starts against the capacity of shrinking workers, if there are any. */
    val audit = pattern.shrinkingWorkers?.let(::CapacityAudit)

    /** Records that [worker] has written its entry in the platform's list. */
    fun onListed(worker: EmulatedWorker, nowMillis: Long) {
        if (worker.id in shrinkingIds) audit?.onListed(nowMillis)
    }

    /** Returns the first [count] workers. */
    fun first(count: Int): List<EmulatedWorker> = workers.values.take(count)

    fun worker(id: String): EmulatedWorker = workers.getValue(id)

    /** Returns the workers that leave, in their order. */
    fun departing(count: Int): List<EmulatedWorker> = workers.values.toList().takeLast(count)

    fun listings(): List<WorkerListing> = workers.values.map { listing(it, isDraining = false) }

    fun listing(worker: EmulatedWorker, isDraining: Boolean) = WorkerListing(
        WorkerRef(worker.id, worker.id),
        EmulatedLoad.SERVICE,
        "zone",
        worker.capacity,
        emptyList(),
        isDraining,
        revision = ++lastRevision
    )

    /** Ends all that runs on [worker], which has left. */
    fun remove(worker: EmulatedWorker, nowMillis: Long) {
        worker.isGone = true
        worker.runs.values.forEach { onOff(it, nowMillis) }
        worker.runs.clear()
    }

    /** Stops the run of [task] on [worker]. */
    fun stop(worker: EmulatedWorker, task: TaskName, nowMillis: Long) {
        val run = worker.runs[task] ?: return
        onOff(run, nowMillis)
        worker.end(run, RunEnd.STOPPED)
    }

    private fun onOff(run: EmulatedRun, nowMillis: Long) {
        if (run.kind.isServing) offSinceMillis[run.task] = nowMillis
    }

    /** Starts the run of [order], whose task behaves as [traits] says, at [nowMillis]. */
    fun start(order: StartOrder, traits: StepTraits, nowMillis: Long) {
        val worker = worker(order.worker.id)
        val second = nowMillis / MILLIS
        offSinceMillis.remove(order.task)?.let {
            longestOffMillis = maxOf(longestOffMillis, nowMillis - it)
        }
        val faulty = pattern.faultyWorkers.filter { it.covers(worker.id.drop(1).toInt(), second) }
        val willFail = faulty.any { random.nextDouble() < it.failureRate }
        val run = EmulatedRun(
            order.task,
            order.run,
            traits.kind,
            traits.milliCpus,
            traits.image,
            if (willFail) FAIL_MILLIS else traits.workMillis[order.task.index],
            willFail || (traits.failsFirstRun[order.task.index] && order.run == 1),
            traits.phase,
            traits.savesProgress
        )
        run.slowdown = faulty.maxOfOrNull { it.slowdown } ?: 1.0
        run.doneMillis = order.checkpoint.toDoubleOrNull()?.minus(RESTORE_MILLIS) ?: 0.0
        worker.runs[order.task] = run
        if (worker.id in shrinkingIds) audit?.onStarted(worker, nowMillis)
    }

    private fun FaultyWorkers.covers(worker: Int, second: Long) =
        worker < count && second >= fromSecond && second < fromSecond + seconds

    /** Ends what runs on workers whose lease has ended by [nowMillis]. */
    fun lapse(nowMillis: Long) = workers.values.forEach { worker ->
        worker.lapse(nowMillis).forEach { onOff(it, nowMillis) }
    }

    fun step(stepMillis: Int, second: Double) = workers.values.forEach {
        it.step(stepMillis, second)
    }

    /** Samples the tail latencies of all serving tasks, each for the past [sampleMillis]. */
    fun sampleServing(sampleMillis: Long) {
        for (run in workers.values.flatMap { it.runs.values }) {
            if (!run.kind.isServing) continue
            val isOverTarget = run.tailMillis > pattern.targetMillis
            servingSamples++
            servingScore += if (isOverTarget) -OVER_TARGET_PENALTY else 1.0
            run.overTargetMillis = if (isOverTarget) run.overTargetMillis + sampleMillis else 0
            longestOverTargetMillis = maxOf(longestOverTargetMillis, run.overTargetMillis)
        }
    }

    private companion object {
        /** Load added by a heavy neighbour on a whole worker; fitted to three days of readings. */
        const val MIN_HEAVY = 0.7
        const val MAX_HEAVY = 2.3

        /** Every third worker has 1.5 times the processors, as the users' deployment sheets say. */
        const val LARGE_WORKER_INTERVAL = 3
        const val LARGE_WORKER_FACTOR = 1.5

        /** The users' penalty for a serving task that its neighbours push over its target. */
        const val OVER_TARGET_PENALTY = 3.0
        const val MILLIS = 1_000L
        const val RESTORE_MILLIS = 250.0
        const val FAIL_MILLIS = 100.0
    }
}
