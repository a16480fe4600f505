/** How jobs are shown to operators. */
package sycamoremast.daemon.batch

import sycamoremast.configuration.Job
import sycamoremast.configuration.operator.JobView
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

/** The states in which a job stays for ever. */
internal val FINAL_STATES = setOf("finished", "failed", "cancelled", "unknown")

internal fun Job.view(team: String) = JobView(
    team = team,
    job = name,
    availabilityZone = availabilityZone,
    state = "accepted",
    tasks = tasks,
    tasksFinished = 0
)

internal fun JobRecord.view(availabilityZone: String, running: Int) = JobView(
    team = team,
    job = name,
    availabilityZone = availabilityZone,
    state = stateName(running),
    tasks = tasks,
    tasksFinished = finished.size,
    tasksRunning = running,
    reason = reason
)

private fun JobRecord.stateName(running: Int): String = when (state) {
    JobState.ACCEPTED -> if (running > 0 || finished.size > 0) "running" else "accepted"
    JobState.FINISHED -> "finished"
    JobState.FAILED -> "failed"
    JobState.CANCELLED -> "cancelled"
    JobState.UNKNOWN -> "unknown"
}

/** Returns how many tasks of open jobs are not finished. */
internal fun ShardDocument.waitingTasks(): Int = jobs
    .filter { it.state == JobState.ACCEPTED }
    .sumOf { it.tasks - it.finished.size - it.unknown.size }
