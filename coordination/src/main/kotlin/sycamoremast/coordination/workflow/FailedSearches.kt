/** The searches for a worker that have failed in a round of placement, in which room only shrinks. */
package sycamoremast.coordination.workflow

import sycamoremast.coordination.Resources

internal class FailedSearches {
    private val shapes = ArrayList<TaskShape>()
    private val steps = HashSet<OpenStep>()

    fun clear() {
        shapes.clear()
        steps.clear()
    }

    /** Whether a task that is no larger than [task] has found no worker. */
    fun includes(task: OpenTask): Boolean {
        if (task.step in steps) return true
        val shape = TaskShape.of(task.step)
        return shapes.any { it.isNoLargerThan(shape) }
    }

    /** Records that [task] has found no worker. */
    fun add(task: OpenTask) {
        steps += task.step
        // With maxPerWorker set, that limit may be the reason rather than the task's shape.
        if (task.step.spec.maxPerWorker == 0) shapes += TaskShape.of(task.step)
    }
}

/** The properties that decide whether a task fits; [image] is set only if it uses idle CPU. */
private data class TaskShape(
    val service: String,
    val label: String,
    val usesIdleCpu: Boolean,
    val image: String,
    val demand: Resources
) {
    /** Whether a task of shape [other] can't fit anywhere if a task of this shape can't. */
    fun isNoLargerThan(other: TaskShape): Boolean = service == other.service &&
        label == other.label &&
        usesIdleCpu == other.usesIdleCpu &&
        image == other.image &&
        demand.fitsIn(other.demand)

    companion object {
        fun of(step: OpenStep) = TaskShape(
            step.workflow.queue.service,
            step.spec.requiredLabel,
            step.spec.usesIdleCpu,
            if (step.spec.usesIdleCpu) step.spec.image else "",
            step.spec.demand
        )
    }
}
