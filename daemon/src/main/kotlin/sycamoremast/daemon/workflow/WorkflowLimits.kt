/** How much work a host accepts and keeps in memory. */
package sycamoremast.daemon.workflow

import sycamoremast.coordination.workflow.SchedulerSettings

/**
 * A workflow with more than [maxTasksPerWorkflow] tasks, over all occurrences, is refused. An owner
 * keeps at most [maxOpenTasks] tasks of all workflows in memory; the others wait.
 */
data class WorkflowLimits(
    val maxTasksPerWorkflow: Long = WorkflowSettings.DEFAULT_MAX_TASKS_PER_WORKFLOW,
    val maxOpenTasks: Long = SchedulerSettings.DEFAULT_MAX_OPEN_TASKS
)
