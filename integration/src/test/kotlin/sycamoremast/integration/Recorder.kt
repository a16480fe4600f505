/**
 * Checks of the invariants by what the workers and the backend servers recorded.
 *
 * Nothing that the system itself says is believed here.
 */
package sycamoremast.integration

import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import sycamoremast.coordination.TaskPhase
import sycamoremast.standins.RunRecord

/** Fails unless each of [tasks] tasks of the job finished once and never ran in two places. */
internal fun expectFinishedOnce(runs: List<RunRecord>, job: String, tasks: Int) {
    val ofJob = runs.filter { job in it.taskId }
    val finished = ofJob.filter { it.phase == TaskPhase.FINISHED }
    expectThat(finished.map { it.taskId }.groupingBy { it }.eachCount().filterValues { it > 1 })
        .describedAs("tasks that finished twice").isEqualTo(mapOf())
    expectThat(finished.size).describedAs("finished tasks of $job in $ofJob").isEqualTo(tasks)
    expectNoOverlap(runs)
}

/** Fails if a task ran in two places at a time. */
internal fun expectNoOverlap(runs: List<RunRecord>) {
    val overlaps = runs.groupBy { it.taskId }.values.flatMap { ofTask ->
        ofTask.sortedBy { it.startedMillis }.zipWithNext()
            .filter { (one, next) -> (one.endedMillis ?: Long.MAX_VALUE) > next.startedMillis }
    }
    expectThat(overlaps).describedAs("overlapping runs of one task").isEmpty()
}
