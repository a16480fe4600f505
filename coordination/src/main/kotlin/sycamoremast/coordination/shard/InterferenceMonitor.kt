/** Feeds worker reports to the interference model and executes its decisions. */
package sycamoremast.coordination.shard

import sycamoremast.coordination.TaskAction
import sycamoremast.coordination.WorkerReport
import sycamoremast.coordination.interference.InterferenceAction
import sycamoremast.coordination.interference.InterferenceControl
import sycamoremast.coordination.interference.InterferenceModel
import sycamoremast.coordination.interference.Neighbour
import sycamoremast.coordination.interference.PlacedTask

internal class InterferenceMonitor(private val tasks: TaskTable) {
    private val model = InterferenceModel()
    private val control = InterferenceControl(model)

    /** The progress of a task when it was first seen next to the same [neighbours]. */
    private class Progress(
        val doneMillis: Long,
        val clockMillis: Long,
        val neighbours: Set<Neighbour>
    )

    private val progress = HashMap<String, Progress>()

    /** Updates the model from [report] and returns the resulting orders. */
    fun onReport(row: WorkerRow, report: WorkerReport, nowMillis: Long): List<ShardAction> {
        val placed = report.tasks.mapNotNull { task ->
            val live = row.activeAttempts[task.taskId]?.takeIf { it.phase == AttemptPhase.RUNNING }
            live?.let { it.placed(task.throttled) to (task.checkpoint?.doneMillis ?: 0) }
        }
        if (placed.size < 2) return emptyList()
        for ((task, doneMillis) in placed) {
            val others = placed.map { it.first }.filter { it.id != task.id }
            learn(task, doneMillis, others, report.clockMillis, nowMillis)
        }
        return control.decide(placed.map { it.first }, nowMillis)
            .mapNotNull { execute(it, row) }
    }

    /** Returns the expected interference, in both directions, between a task of [job] and [row]. */
    fun penalty(job: JobRow, row: WorkerRow): Double = row.activeAttempts.values.sumOf { other ->
        val disturbs = model.estimate(other.job.key, Neighbour(job.key, false)).mean
        val isDisturbed = model.estimate(job.key, Neighbour(other.job.key, false)).mean
        maxOf(disturbs, 0.0) + maxOf(isDisturbed, 0.0)
    }

    /** Discards the state of a task that is no longer on its worker. */
    fun forget(taskId: String) {
        progress.remove(taskId)
        control.forget(taskId)
    }

    private fun learn(
        task: PlacedTask,
        doneMillis: Long,
        others: List<PlacedTask>,
        clockMillis: Long,
        nowMillis: Long
    ) {
        val neighbours = others.mapTo(HashSet()) { Neighbour(it.job, it.isThrottled) }
        val last = progress[task.id]
        val isComparable = last != null && last.neighbours == neighbours && !task.isThrottled
        if (last != null && isComparable) {
            val elapsed = clockMillis - last.clockMillis
            if (doneMillis == last.doneMillis || elapsed < MIN_SAMPLE_MILLIS) return
            val rate = (doneMillis - last.doneMillis).toDouble() / elapsed
            model.observe(task.job, neighbours, rate, nowMillis)
        }
        progress[task.id] = Progress(doneMillis, clockMillis, neighbours)
    }

    private fun execute(action: InterferenceAction, row: WorkerRow): ShardAction? {
        val task = row.activeAttempts[action.id] ?: return null
        val order = when (action) {
            is InterferenceAction.Evict -> {
                tasks.evict(task)
                return ShardAction.Note("evict", row.name, task.id)
            }

            is InterferenceAction.Throttle -> TaskAction.THROTTLE

            is InterferenceAction.Unthrottle -> TaskAction.UNTHROTTLE
        }
        return ShardAction.Control(row.name, task.id, row.session.epoch, order)
    }

    private fun TaskAttempt.placed(isThrottled: Boolean) = PlacedTask(
        id = id,
        job = job.key,
        isThrottled = isThrottled,
        canBeThrottled = job.spec?.urgent == false,
        canBeEvicted = job.spec?.let { !it.urgent && !it.neverRepeat } ?: false
    )

    private companion object {
        /** The minimum time for a progress sample, as tasks report progress in steps. */
        const val MIN_SAMPLE_MILLIS = 2_000L
    }
}
