/**
 * Throttles and evicts tasks that slow down their neighbours on the same worker.
 *
 * A task is throttled once it slows down a neighbour too much with high confidence, and evicted if
 * it still does so while throttled. It is unthrottled below a lower threshold, and no task is
 * changed again within a hold time; both prevent oscillation. The number of evictions per period is
 * limited, so that a wave of noisy tasks does not cause a wave of evictions.
 */
package sycamoremast.coordination.interference

import kotlin.math.ln
import sycamoremast.coordination.placement.EvictionBudget
import sycamoremast.coordination.record.JobKey

/** A task on a worker; [canBeEvicted] is false for urgent tasks and for those never rerun. */
data class PlacedTask(
    val id: String,
    val job: JobKey,
    val isThrottled: Boolean,
    val canBeThrottled: Boolean,
    val canBeEvicted: Boolean
)

/** An action on the task [id]. */
sealed interface InterferenceAction {
    val id: String

    /** Limits the speed of the task. */
    data class Throttle(override val id: String) : InterferenceAction

    /** Lets the task run at full speed again. */
    data class Unthrottle(override val id: String) : InterferenceAction

    /** Checkpoints the task and runs it on another worker. */
    data class Evict(override val id: String) : InterferenceAction
}

/** Chooses actions by the [model], with at most [maxEvictionsPerPeriod] evictions in any 30 s. */
class InterferenceControl(
    private val model: InterferenceModel,
    maxEvictionsPerPeriod: Int = MAX_EVICTIONS_PER_PERIOD
) {
    private val budget = EvictionBudget(maxEvictionsPerPeriod, PERIOD_MILLIS)
    private val lastChangeMillis = HashMap<String, Long>()

    /** Returns the actions on the [tasks] of one worker, and records their time. */
    fun decide(tasks: List<PlacedTask>, nowMillis: Long): List<InterferenceAction> =
        tasks.filter { it.canBeThrottled && isHoldOver(it, nowMillis) }
            .mapNotNull { decide(it, tasks, nowMillis) }
            .onEach { lastChangeMillis[it.id] = nowMillis }

    /** Removes the record of the task [id], which has left its worker. */
    fun forget(id: String) {
        lastChangeMillis.remove(id)
    }

    private fun isHoldOver(task: PlacedTask, nowMillis: Long) =
        nowMillis >= (lastChangeMillis[task.id] ?: -HOLD_MILLIS) + HOLD_MILLIS

    private fun decide(
        task: PlacedTask,
        tasks: List<PlacedTask>,
        nowMillis: Long
    ): InterferenceAction? {
        val victims = tasks.filter { it.id != task.id }.map { it.job }
        val current = slowdownBy(task.job, task.isThrottled, victims, nowMillis)
        if (!task.isThrottled) {
            return if (current > THROTTLE_ABOVE) InterferenceAction.Throttle(task.id) else null
        }
        val unthrottled = slowdownBy(task.job, isThrottled = false, victims, nowMillis)
        return when {
            current > EVICT_ABOVE && task.canBeEvicted && budget.tryTake(1, nowMillis) ->
                InterferenceAction.Evict(task.id)

            unthrottled < UNTHROTTLE_BELOW -> InterferenceAction.Unthrottle(task.id)

            else -> null
        }
    }

    /** Returns the logarithm of the largest slowdown of [victims] by [job], as a lower bound. */
    private fun slowdownBy(
        job: JobKey,
        isThrottled: Boolean,
        victims: List<JobKey>,
        nowMillis: Long
    ) = victims.maxOfOrNull {
        model.estimate(it, Neighbour(job, isThrottled)).lowerBoundAt(nowMillis)
    } ?: 0.0

    companion object {
        /** The number of evictions allowed in any period. */
        const val MAX_EVICTIONS_PER_PERIOD = 4

        private const val PERIOD_MILLIS = 30_000L

        /** The least time between two changes of a task. */
        private const val HOLD_MILLIS = 5_000L

        /** Thresholds for the logarithm of a slowdown. */
        private val THROTTLE_ABOVE = ln(1.3)
        private val EVICT_ABOVE = ln(1.25)
        private val UNTHROTTLE_BELOW = ln(1.1)
    }
}
