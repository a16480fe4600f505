/**
 * A worker in virtual time: it runs tasks, shares idle processors and reports tail latencies.
 *
 * Tasks that use idle processors share what the others leave. The tail latency of a serving task
 * follows that of a queue: it grows with the task's own load and with the interference of its
 * neighbours, whose strength depends on the pair of images. It is reported as the average of half a
 * second.
 */
package sycamoremast.emulator

import sycamoremast.coordination.Resources
import sycamoremast.coordination.workflow.EndedRow
import sycamoremast.coordination.workflow.RunEnd
import sycamoremast.coordination.workflow.RunningRow
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkerReport

/**
 * A run on a worker; [workMillis] is its run time alone on the worker at full pace.
 *
 * [phase] shifts the periodic variation of its load; [tails] are the latest tail latencies.
 */
internal class EmulatedRun(
    val task: TaskName,
    val run: Int,
    val kind: WorkflowKind,
    val milliCpus: Long,
    val image: Int,
    val workMillis: Double,
    val willFail: Boolean,
    val phase: Double,
    val savesProgress: Boolean
) {
    var doneMillis = 0.0
    var pace = 1.0
    var slowdown = 1.0
    var tailMillis = 0.0
    val tails = ArrayDeque<Double>()
    var overTargetMillis = 0L
    var ageMillis = 0L
}

/**
 * A worker whose serving tasks behave as [pattern] says.
 *
 * [interference] gives the load that a task adds by using the whole worker, by the images of the
 * serving task and of that task.
 */
internal class EmulatedWorker(
    val id: String,
    val milliCpus: Long,
    private val pattern: LoadPattern,
    private val interference: Map<Pair<Int, Int>, Double>
) {
    val runs = LinkedHashMap<TaskName, EmulatedRun>()
    val ended = ArrayList<EndedRow>()
    private var lastEnd = 0L
    private var bornMillis = 0L
    private var fencingToken = 0L

    /** By the emulation's time. */
    private var leaseEndMillis = Long.MIN_VALUE

    /** The share of its capacity that it has at present. */
    var capacityShare = 1.0

    /** Whether it has left or is down, so that no call reaches it. */
    var isGone = false

    /** The number of its incarnation, from 1. */
    var incarnation = 1L
        private set

    /** Begins another incarnation, which knows nothing of the one before; its clock starts anew. */
    fun restart(nowMillis: Long) {
        incarnation++
        bornMillis = nowMillis
        fencingToken = 0
        leaseEndMillis = Long.MIN_VALUE
        ended.clear()
        lastEnd = 0
        isGone = false
    }

    /** Returns the reading of this incarnation's clock at [nowMillis]. */
    fun clockMillis(nowMillis: Long): Long = nowMillis - bornMillis + CLOCK_START_MILLIS

    /** Returns whether an order with [token] is obeyed, and remembers the token if so. */
    fun obeys(token: Long): Boolean {
        if (token < fencingToken) return false
        fencingToken = token
        return true
    }

    /** Extends the lease to [untilClockMillis] by its clock, or by the longest one. */
    fun extendLease(untilClockMillis: Long, nowMillis: Long) {
        val lastsMillis = minOf(untilClockMillis - clockMillis(nowMillis), LONGEST_LEASE_MILLIS)
        leaseEndMillis = maxOf(leaseEndMillis, nowMillis + lastsMillis)
    }

    /** Ends all runs if the lease has ended by [nowMillis], and returns them. */
    fun lapse(nowMillis: Long): List<EmulatedRun> {
        if (nowMillis < leaseEndMillis) return emptyList()
        return runs.values.toList().onEach { end(it, RunEnd.LAPSED) }
    }

    fun load(run: EmulatedRun, second: Double): Double {
        val cycles = second / pattern.periodSeconds + run.phase
        return pattern.meanLoad * (1 + pattern.loadSwing * kotlin.math.sin(TWO_PI * cycles))
    }

    /** Whether what runs reserves no more than [share] of the full capacity. */
    fun fits(share: Double): Boolean {
        val reserved = runs.values.filter { !it.kind.usesIdleCpu }.sumOf { it.milliCpus }
        return reserved <= (milliCpus * share).toLong() &&
            runs.values.sumOf { it.kind.memoryMib } <= (memoryMib * share).toLong()
    }

    private val memoryMib get() = pattern.memoryMib * milliCpus / pattern.milliCpus

    /** Its capacity at present. */
    val capacity: Resources
        get() = Resources(
            (milliCpus * capacityShare).toLong(),
            (memoryMib * capacityShare).toLong()
        )

    /** Advances all runs by [stepMillis] and returns those that ended. */
    fun step(stepMillis: Int, second: Double): List<EmulatedRun> {
        val serving = runs.values.filter { it.kind.isServing }
        val fixed = runs.values.filter { !it.kind.isServing && !it.kind.usesIdleCpu }
        val idleCpu = runs.values.filter { it.kind.usesIdleCpu }
        val used = serving.sumOf { load(it, second) * it.milliCpus } + fixed.sumOf { it.milliCpus }
        val wanted = idleCpu.sumOf { it.milliCpus * it.pace }
        val granted = if (wanted <=
            0
        ) {
            1.0
        } else {
            ((milliCpus * capacityShare - used) / wanted).coerceIn(0.0, 1.0)
        }
        for (run in serving) updateTail(run, idleCpu, granted, second, stepMillis)
        for (run in fixed) run.doneMillis += stepMillis / run.slowdown
        for (run in idleCpu) run.doneMillis += stepMillis * granted * run.pace / run.slowdown
        runs.values.forEach { it.ageMillis += stepMillis }
        val finished = runs.values.filter { !it.kind.isServing && it.doneMillis >= it.workMillis }
        finished.forEach { end(it, if (it.willFail) RunEnd.FAILED else RunEnd.DONE) }
        return finished
    }

    private fun updateTail(
        run: EmulatedRun,
        idleCpu: List<EmulatedRun>,
        granted: Double,
        second: Double,
        stepMillis: Int
    ) {
        val pressure = idleCpu.sumOf {
            interference.getValue(run.image to it.image) * it.milliCpus * it.pace * granted /
                milliCpus * activity(it, second)
        }
        val utilization = (load(run, second) + pressure).coerceAtMost(MAX_UTILIZATION)
        run.tailMillis = pattern.tailMillis / (1 - utilization)
        run.tails.addLast(run.tailMillis)
        if (run.tails.size > AVERAGING_MILLIS / stepMillis) run.tails.removeFirst()
    }

    /** Returns the factor of the interference by [run] at [second], which varies within seconds. */
    private fun activity(run: EmulatedRun, second: Double) =
        1 + ACTIVITY_AMPLITUDE * kotlin.math.sin(TWO_PI * (second / ACTIVITY_SECONDS + run.phase))

    fun end(run: EmulatedRun, end: RunEnd) {
        runs.remove(run.task)
        lastEnd++
        val keepsWork = run.savesProgress && end == RunEnd.STOPPED
        ended +=
            EndedRow(lastEnd, run.task, run.run, end, if (keepsWork) "${run.doneMillis}" else "")
    }

    fun report(nowMillis: Long, acknowledged: Long): WorkerReport {
        ended.removeAll { it.number <= acknowledged }
        val rows = runs.values.map { run ->
            val gauge = if (run.kind.isServing) run.tails.average() else run.milliCpus.toDouble()
            val percent =
                if (run.kind.isServing) FULL else (FULL * run.doneMillis / run.workMillis).toInt()
            RunningRow(run.task, run.run, "", percent, gauge)
        }
        return WorkerReport(clockMillis(nowMillis), incarnation, nowMillis, rows, ended.toList())
    }

    companion object {
        /** The longest lease that it accepts, by its own clock. */
        const val LONGEST_LEASE_MILLIS = 10_000L
        private const val CLOCK_START_MILLIS = 1_000L
        private const val TWO_PI = 2 * Math.PI
        private const val MAX_UTILIZATION = 0.99
        private const val ACTIVITY_AMPLITUDE = 0.6
        private const val ACTIVITY_SECONDS = 3.0
        private const val AVERAGING_MILLIS = 500
        private const val FULL = 100
    }
}
