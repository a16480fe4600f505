/**
 * What is done about tasks that slow their neighbours down.
 *
 * A task is throttled once it is certain enough that it slows a neighbour down by much, and evicted
 * if that is still so while it is throttled. It is released only below a lower bound, and nothing is
 * changed twice within a holding time. Evictions are bounded for each period, so that a wave of noisy
 * tasks does not set off a wave of evictions.
 */
package sycamoremast.coordination.interference

import kotlin.math.ln
import sycamoremast.coordination.placement.EvictionBudget
import sycamoremast.coordination.record.JobKey

/** A task on a worker; [canBeEvicted] is false for urgent and for never-repeated ones. */
data class PlacedTask(
    val id: String,
    val job: JobKey,
    val isThrottled: Boolean,
    val canBeThrottled: Boolean,
    val canBeEvicted: Boolean
)

/** What is to be done with the task [id]. */
sealed interface InterferenceAction {
    val id: String

    /** Slow the task down. */
    data class Throttle(override val id: String) : InterferenceAction

    /** Let the task run at full speed again. */
    data class Release(override val id: String) : InterferenceAction

    /** Checkpoint the task and run it elsewhere. */
    data class Evict(override val id: String) : InterferenceAction
}

/** Decides by [model]; evicts at most [mostEvictions] tasks in each period. */
class InterferenceControl(
    private val model: InterferenceModel,
    mostEvictions: Int = MOST_EVICTIONS
) {
    private val budget = EvictionBudget(mostEvictions, PERIOD_MILLIS)
    private val changedMillis = HashMap<String, Long>()

    /** Returns what to do with the [tasks] of one worker. */
    fun decide(tasks: List<PlacedTask>, nowMillis: Long): List<InterferenceAction> =
        tasks.filter { it.canBeThrottled && isHeldLongEnough(it, nowMillis) }
            .mapNotNull { decide(it, tasks, nowMillis) }
            .onEach { changedMillis[it.id] = nowMillis }

    /** Forgets the task [id], which has left its worker. */
    fun forget(id: String) {
        changedMillis.remove(id)
    }

    private fun isHeldLongEnough(task: PlacedTask, nowMillis: Long) =
        nowMillis >= (changedMillis[task.id] ?: -HOLD_MILLIS) + HOLD_MILLIS

    private fun decide(
        task: PlacedTask,
        tasks: List<PlacedTask>,
        nowMillis: Long
    ): InterferenceAction? {
        val victims = tasks.filter { it.id != task.id }.map { it.job }
        val now = harm(task.job, task.isThrottled, victims, nowMillis)
        if (!task.isThrottled) {
            return if (now > THROTTLE_FROM) InterferenceAction.Throttle(task.id) else null
        }
        val freely = harm(task.job, isThrottled = false, victims, nowMillis)
        return when {
            now > EVICT_FROM && task.canBeEvicted && budget.tryTake(1, nowMillis) ->
                InterferenceAction.Evict(task.id)

            freely < RELEASE_BELOW -> InterferenceAction.Release(task.id)

            else -> null
        }
    }

    private fun harm(job: JobKey, isThrottled: Boolean, victims: List<JobKey>, nowMillis: Long) =
        victims.maxOfOrNull {
            model.estimate(it, Neighbour(job, isThrottled)).certainAt(nowMillis)
        } ?: 0.0

    companion object {
        /** The evictions allowed in each period. */
        const val MOST_EVICTIONS = 4
        private const val PERIOD_MILLIS = 30_000L
        private const val HOLD_MILLIS = 5_000L
        private val THROTTLE_FROM = ln(1.3)
        private val EVICT_FROM = ln(1.25)
        private val RELEASE_BELOW = ln(1.1)
    }
}
