/**
 * The order in which workflows get workers while there is not room for all.
 *
 * Queues come in the order of their priority, and within a queue's priority long-running workflows
 * come after others, which would otherwise wait for them forever. Other workflows are ordered by
 * the benefit to their callers for each core-second that they still need. A workflow that can no
 * longer meet its objective is worth less to its caller, so it yields to those that can.
 *
 * Long-running workflows are ordered by image, so that workers serve few images, and those whose
 * tasks have to run on many workers come first, as the others fit into the room that these leave.
 */
package sycamoremast.coordination.workflow

internal class PlacementOrder(private val nowMillis: Long) {
    private class Rank(val workflow: OpenWorkflow, val benefitRate: Double) {
        val image = if (workflow.isLongRunning) workflow.spec.steps.first().image else ""
        val spread = if (workflow.isLongRunning) spreadOf(workflow.spec.steps.first()) else 0
    }

    /** Returns [workflows] in the order in which their tasks are placed. */
    fun sorted(workflows: List<OpenWorkflow>): List<OpenWorkflow> {
        val meanWork = workflows.groupBy { it.spec.queue.name }
            .mapValues { (_, all) -> all.sumOf { it.totalCoreMillis } / all.size }
        return workflows.map { Rank(it, benefitRate(it, meanWork.getValue(it.spec.queue.name))) }
            .sortedWith(ORDER).map { it.workflow }
    }

    /** Returns the benefit of completing [workflow], for each core-second that this still takes. */
    private fun benefitRate(workflow: OpenWorkflow, meanCoreMillis: Double): Double {
        if (workflow.isLongRunning) return 0.0
        val remaining = workflow.remainingCoreMillis.coerceAtLeast(1.0)
        val size = BASE_BENEFIT * meanCoreMillis + (1 - BASE_BENEFIT) * workflow.totalCoreMillis
        return size / remaining * timeliness(workflow)
    }

    private fun timeliness(workflow: OpenWorkflow): Double {
        val earliestEnd = nowMillis + workflow.remainingMillis
        val allowed = workflow.objectiveMillis - workflow.acceptedMillis
        return when {
            earliestEnd <= workflow.objectiveMillis -> 1.0
            earliestEnd <= workflow.objectiveMillis + LATE_LIMIT * allowed -> LATE_BENEFIT
            else -> OVERDUE_BENEFIT
        }
    }

    private companion object {
        /** Returns on how many workers the tasks of [step] have to run at least. */
        fun spreadOf(step: WorkflowStep): Int =
            if (step.maxPerWorker == 0) 1 else (step.taskCount - 1) / step.maxPerWorker + 1

        val ORDER = compareBy<Rank>({ it.workflow.queue.priority }, { it.workflow.isLongRunning })
            .thenBy { it.image }
            .thenByDescending { it.spread }
            .thenByDescending { it.benefitRate }
            .thenBy { it.workflow.objectiveMillis }

        /** The part of the benefit that every workflow brings, whatever its size. */
        const val BASE_BENEFIT = 0.3

        /** The benefit of a late result, and of one that is late by more than [LATE_LIMIT] times. */
        const val LATE_BENEFIT = 0.15
        const val OVERDUE_BENEFIT = 0.05
        const val LATE_LIMIT = 2
    }
}
