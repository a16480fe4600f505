/** How jobs are shown to operators. */
package sycamoremast.daemon.batch

import sycamoremast.configuration.Job
import sycamoremast.configuration.operator.JobView
import sycamoremast.coordination.record.JobRecord
import sycamoremast.coordination.record.JobState
import sycamoremast.coordination.record.ShardDocument

/** The states in which a job stays for ever. */
internal val FINAL_STATES = setOf("finished", "failed", "cancelled", "unknown")

private const val WAITS_FOR_ROOM = "waits for room in its shard's document"

/**
 * Returns the view of a job without a record.
 *
 * It has ended as [ended], or is not accepted yet and [waitsForRoom] in its shard's document.
 */
internal fun Job.view(team: String, ended: JobState?, waitsForRoom: Boolean) = JobView(
    team = team,
    job = name,
    availabilityZone = availabilityZone,
    state = (ended ?: JobState.ACCEPTED).viewName,
    tasks = tasks,
    tasksFinished = if (ended == JobState.FINISHED) tasks else 0,
    reason = if (ended == null && waitsForRoom) WAITS_FOR_ROOM else ""
)

/** Returns the record that this job of [team] has while nothing of it has run. */
internal fun Job.toRecord(team: String) = JobRecord(team, name, 0, tasks, spec = toSpec())

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

private fun JobRecord.stateName(running: Int): String {
    val hasBegun = running > 0 || finished.size > 0
    return if (state == JobState.ACCEPTED && hasBegun) "running" else state.viewName
}

internal val JobState.viewName get() = name.lowercase()

/** Returns how many tasks of open jobs are not finished. */
internal fun ShardDocument.waitingTasks(): Int = jobs
    .filter { it.state == JobState.ACCEPTED }
    .sumOf { it.tasks - it.finished.size - it.unknown.size }
