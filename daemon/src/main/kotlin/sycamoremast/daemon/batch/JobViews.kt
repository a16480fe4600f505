/** How jobs are shown to operators. */
package sycamoremast.daemon.batch

import sycamoremast.configuration.Job
import sycamoremast.configuration.operator.JobView
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

/** The states in which a job stays for ever. */
internal val FINAL_STATES = setOf("finished", "failed", "cancelled", "unknown")

/** The state of a job whose owner does not tell whether its tasks run. */
internal const val UNCONFIRMED = "unconfirmed"

/** Returns the record that this job of [team] has while nothing of it has run. */
internal fun Job.toRecord(team: String) = JobRecord(team, name, 0, tasks, spec = toSpec())

/** Returns the view of this record with so many tasks [running], or null if that is not known. */
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

/** Returns how many tasks of open jobs are not finished. */
internal fun ShardDocument.waitingTasks(): Int = jobs
    .filter { it.state == JobState.ACCEPTED }
    .sumOf { it.tasks - it.finished.size - it.unknown.size }
