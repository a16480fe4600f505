/** Views of jobs for operators. */
package sycamoremast.daemon.batch

import sycamoremast.configuration.Job
import sycamoremast.configuration.operator.JobView
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

/** The terminal states of a job. */
internal val FINAL_STATES = setOf("finished", "failed", "cancelled", "unknown")

/** The state of a job for which the owner's report on running tasks is missing. */
internal const val UNCONFIRMED = "unconfirmed"

/** Returns the initial record of this job of [team], before any task has run. */
internal fun Job.toRecord(team: String) = JobRecord(team, name, 0, tasks, spec = toSpec())

/** Returns the view of this record with the number of [running] tasks, or null if unknown. */
internal fun JobRecord.view(availabilityZone: String, running: Int?) = JobView(
    team = team,
    job = name,
    availabilityZone = availabilityZone,
    state = stateName(running),
    tasks = tasks,
    tasksFinished = finished.size,
    tasksRunning = running,
    reason = reason
)

private fun JobRecord.stateName(running: Int?): String = when {
    state != JobState.ACCEPTED -> state.viewName
    running == null -> UNCONFIRMED
    running > 0 || finished.size > 0 -> "running"
    else -> state.viewName
}

internal val JobState.viewName get() = name.lowercase()

/** Returns how many tasks of open jobs have neither finished nor an unknown outcome. */
internal fun ShardDocument.waitingTasks(): Int = jobs
    .filter { it.state == JobState.ACCEPTED }
    .sumOf { it.tasks - it.finished.size - it.unknown.size }
