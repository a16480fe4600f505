package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import sycamoremast.coordination.Resources

/** Tests a worker with more ends of runs than a report can contain. */
class ManyEndsTest {
    private val driver = SchedulerDriver()

    // Guards against a task that runs again because its end did not fit into the report.
    @Test
    fun `keeps a run whose end does not fit into a full report`() {
        driver.listWorkers("w1")
        val step = WorkflowStep(TASKS, Resources(10, 10))
        driver.submit(driver.workflow("job", step))
        driver.step()
        val starts = driver.starts.onEach(driver::confirmStart)
        expectThat(starts).hasSize(TASKS)
        val ends = starts.mapIndexed { i, start ->
            EndedRow(i + 1L, start.task, start.run, RunEnd.DONE, "")
        }
        driver.areRecordsDurableAtOnce = false
        driver.report(driver.freshPoll("w1"), ended = ends.take(REPORTED_ENDS))
        driver.step()
        expectThat(driver.starts.map { it.task }).isEmpty()
    }

    private companion object {
        const val REPORTED_ENDS = 500
        const val TASKS = 520
    }
}
