/**
 * A worker in virtual time: it runs tasks, shares its idle processors and reports tails.
 *
 * Tasks that use idle processors get what the others leave. The tail of a serving task grows as in a
 * queue with the load that it carries and with what its neighbours take, by an amount for each pair
 * of images; it is reported as the average of half a second.
 */
package sycamoremast.emulator

import sycamoremast.coordination.workflow.EndedRow
import sycamoremast.coordination.workflow.RunEnd
import sycamoremast.coordination.workflow.RunningRow
import sycamoremast.coordination.workflow.TaskName
import sycamoremast.coordination.workflow.WorkerReport

/** A run that is there; [workMillis] is what it takes alone at full pace. */
internal class EmulatedRun(
    val name: TaskName,
    val run: Int,
    val kind: WorkKind,
    val milliCpus: Long,
    val image: Int,
    val workMillis: Double,
    val willFail: Boolean,
    val phase: Double,
    val savesProgress: Boolean
) {
    var doneMillis = 0.0
    var pace = 1.0
    var slowness = 1.0
    var tail = 0.0
    val tails = ArrayDeque<Double>()
    var overMillis = 0L
    var ageMillis = 0L
}

internal class EmulatedWorker(
    val id: String,
    val milliCpus: Long,
    private val tailMillis: Double,
    private val swingSeconds: Double,
    private val presses: Map<Pair<Int, Int>, Double>
) {
    val runs = LinkedHashMap<TaskName, EmulatedRun>()
    val ended = ArrayList<EndedRow>()
    private var lastEnd = 0L

    fun load(run: EmulatedRun, second: Double) =
        LOAD * (1 + SWING * kotlin.math.sin(TWO_PI * (second / swingSeconds + run.phase)))

    /** Moves on by [stepMillis]; returns the runs that ended. */
    fun step(stepMillis: Int, second: Double): List<EmulatedRun> {
        val serving = runs.values.filter { it.kind.isServing }
        val firm = runs.values.filter { !it.kind.isServing && !it.kind.usesIdleCpu }
        val sharing = runs.values.filter { it.kind.usesIdleCpu }
        val used = serving.sumOf { load(it, second) * it.milliCpus } + firm.sumOf { it.milliCpus }
        val wanted = sharing.sumOf { it.milliCpus * it.pace }
        val part = if (wanted <=
            0
        ) {
            1.0
        } else {
            ((milliCpus - used) / wanted).coerceIn(0.0, 1.0)
        }
        for (run in serving) measure(run, sharing, part, second, stepMillis)
        for (run in firm) run.doneMillis += stepMillis / run.slowness
        for (run in sharing) run.doneMillis += stepMillis * part * run.pace / run.slowness
        runs.values.forEach { it.ageMillis += stepMillis }
        val done = runs.values.filter { !it.kind.isServing && it.doneMillis >= it.workMillis }
        done.forEach { end(it, if (it.willFail) RunEnd.FAILED else RunEnd.DONE) }
        return done
    }

    private fun measure(
        run: EmulatedRun,
        sharing: List<EmulatedRun>,
        part: Double,
        second: Double,
        stepMillis: Int
    ) {
        val pressure = sharing.sumOf {
            presses.getValue(run.image to it.image) * it.milliCpus * it.pace * part /
                milliCpus * activity(it, second)
        }
        val busy = (load(run, second) + pressure).coerceAtMost(MOST_BUSY)
        run.tail = tailMillis / (1 - busy)
        run.tails.addLast(run.tail)
        if (run.tails.size > READING_MILLIS / stepMillis) run.tails.removeFirst()
    }

    /** Returns how much more or less than usual [run] presses now; it changes within seconds. */
    private fun activity(run: EmulatedRun, second: Double) =
        1 + ACTIVITY_SWING * kotlin.math.sin(TWO_PI * (second / ACTIVITY_SECONDS + run.phase))

    fun end(run: EmulatedRun, how: RunEnd) {
        runs.remove(run.name)
        lastEnd++
        val keepsWork = run.savesProgress && how == RunEnd.STOPPED
        ended +=
            EndedRow(lastEnd, run.name, run.run, how, if (keepsWork) "${run.doneMillis}" else "")
    }

    fun report(nowMillis: Long, acknowledged: Long): WorkerReport {
        ended.removeAll { it.number <= acknowledged }
        val rows = runs.values.map { run ->
            val gauge = if (run.kind.isServing) run.tails.average() else run.milliCpus.toDouble()
            val percent =
                if (run.kind.isServing) FULL else (FULL * run.doneMillis / run.workMillis).toInt()
            RunningRow(run.name, run.run, "", percent, gauge)
        }
        return WorkerReport(nowMillis, 1, nowMillis, rows, ended.toList())
    }

    private companion object {
        /** Mean and swing of a serving task's load, of what it reserves, fitted to BKTIB's days. */
        const val LOAD = 0.52
        const val SWING = 0.4
        const val TWO_PI = 2 * Math.PI
        const val MOST_BUSY = 0.99
        const val ACTIVITY_SWING = 0.6
        const val ACTIVITY_SECONDS = 3.0
        const val READING_MILLIS = 500
        const val FULL = 100
    }
}
