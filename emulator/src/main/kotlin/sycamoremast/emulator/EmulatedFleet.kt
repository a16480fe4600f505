/** The workers of a pattern, and how their serving tasks fare. */
package sycamoremast.emulator

import kotlin.random.Random
import sycamoremast.coordination.Resources
import sycamoremast.coordination.workflow.StartOrder
import sycamoremast.coordination.workflow.WorkerListing
import sycamoremast.coordination.workflow.WorkerRef

/** The workers of [pattern]; how much images disturb each other is drawn with [random]. */
internal class EmulatedFleet(private val pattern: Pattern, private val random: Random) {
    private val presses = (0 until EmulatedLoad.SERVING_IMAGES).flatMap { s ->
        (0 until EmulatedLoad.SHARING_IMAGES).map { f ->
            val isHeavy = random.nextDouble() < pattern.heavyShare
            (s to f) to if (isHeavy) random.nextDouble(LEAST_HEAVY, MOST_HEAVY) else LIGHT
        }
    }.toMap()
    private val workers = (0 until pattern.workers).map {
        val size = if (it % LARGE_EVERY == 0) LARGE else 1.0
        val milliCpus = (pattern.milliCpus * size).toLong()
        EmulatedWorker("w$it", milliCpus, pattern.tailMillis, pattern.swingSeconds, presses)
    }.associateBy { it.id }
    private var servingGood = 0.0
    private var servingSeen = 0

    /** The longest time on end that a serving task was over its target. */
    var longestOverMillis = 0L
        private set

    /** The share of serving tasks' time under their target, less a penalty for time over it. */
    val servingShare: Double get() = if (servingSeen == 0) 1.0 else servingGood / servingSeen
    val milliCpus: Long get() = workers.values.sumOf { it.milliCpus }

    fun worker(id: String): EmulatedWorker = workers.getValue(id)

    fun listings(): List<WorkerListing> = workers.values.map {
        WorkerListing(
            WorkerRef(it.id, it.id),
            EmulatedLoad.SERVICE,
            "zone",
            Resources(it.milliCpus, pattern.memoryMib * it.milliCpus / pattern.milliCpus),
            emptyList(),
            isDraining = false
        )
    }

    /** Begins the run that [order] asks for, with what its task is really like. */
    fun start(order: StartOrder, step: Traits, second: Long) {
        val worker = worker(order.worker.id)
        val bad = pattern.bad.filter { it.covers(worker.id.drop(1).toInt(), second) }
        val fails = bad.any { random.nextDouble() < it.failShare }
        val started = EmulatedRun(
            order.task,
            order.run,
            step.kind,
            step.milliCpus,
            step.image,
            if (fails) FAIL_MILLIS else step.workMillis[order.task.index],
            fails || (step.fails[order.task.index] && order.run == 1),
            step.phase,
            step.savesProgress
        )
        started.slowness = bad.maxOfOrNull { it.slowness } ?: 1.0
        started.doneMillis = order.checkpoint.toDoubleOrNull()?.minus(RESTORE_MILLIS) ?: 0.0
        worker.runs[order.task] = started
    }

    private fun BadWorkers.covers(worker: Int, second: Long) =
        worker < count && second >= fromSecond && second < fromSecond + seconds

    fun step(stepMillis: Int, second: Double) = workers.values.forEach {
        it.step(stepMillis, second)
    }

    /** Notes which serving tasks are over their target, for [sampleMillis]. */
    fun sampleServing(sampleMillis: Long) {
        for (run in workers.values.flatMap { it.runs.values }) {
            if (!run.kind.isServing) continue
            val isOver = run.tail > pattern.targetMillis
            servingSeen++
            servingGood += if (isOver) -OVER_PENALTY else 1.0
            run.overMillis = if (isOver) run.overMillis + sampleMillis else 0
            longestOverMillis = maxOf(longestOverMillis, run.overMillis)
        }
    }

    private companion object {
        /** Load that a neighbour on the whole worker adds; fitted to readings of three days. */
        const val LIGHT = 0.07
        const val LEAST_HEAVY = 0.7
        const val MOST_HEAVY = 2.3

        /** Every third worker has half as many processors again, as on the users' sheets. */
        const val LARGE_EVERY = 3
        const val LARGE = 1.5

        /** The users' accounting of a serving task that others push over its target. */
        const val OVER_PENALTY = 3.0
        const val RESTORE_MILLIS = 250.0
        const val FAIL_MILLIS = 100.0
    }
}
