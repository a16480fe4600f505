/**
 * Assertions of the invariants on the records of the workers and the backend servers.
 *
 * They don't rely on what the system under test reports.
 */
package sycamoremast.integration

import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import sycamoremast.coordination.TaskPhase
import sycamoremast.standins.RunRecord

/** Asserts that each of [tasks] tasks of [job] finished once and that no two runs overlap. */
internal fun expectFinishedOnce(runs: List<RunRecord>, job: String, tasks: Int) {
    val ofJob = runs.filter { job in it.taskId }
    val finished = ofJob.filter { it.phase == TaskPhase.FINISHED }
    expectThat(finished.map { it.taskId }.groupingBy { it }.eachCount().filterValues { it > 1 })
        .describedAs("tasks that finished twice").isEqualTo(mapOf())
    expectThat(finished.size).describedAs("finished tasks of $job in $ofJob").isEqualTo(tasks)
    expectNoOverlap(runs)
}

/** Asserts that no task ran in two places at once. */
internal fun expectNoOverlap(runs: List<RunRecord>) {
    val overlaps = runs.groupBy { it.taskId }.values.flatMap { ofTask ->
        ofTask.sortedBy { it.startedMillis }.zipWithNext()
            .filter { (run, next) -> (run.endedMillis ?: Long.MAX_VALUE) > next.startedMillis }
    }
    expectThat(overlaps).describedAs("overlapping runs of one task").isEmpty()
}
