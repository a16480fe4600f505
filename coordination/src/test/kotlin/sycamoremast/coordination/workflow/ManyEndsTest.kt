package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import sycamoremast.coordination.Resources

/** More ends on one worker than a report holds. */
class ManyEndsTest {
    private val driver = SchedulerDriver()

    // Guards against a task that runs again as its end didn't fit into the report.
    @Test
    fun `a run whose end is beyond the ends of one report is not taken for gone`() {
        driver.workers("w1")
        val step = WorkflowStep(TASKS, Resources(10, 10))
        driver.submit(driver.workflow("job", step))
        driver.step()
        val starts = driver.starts.onEach(driver::done)
        expectThat(starts).hasSize(TASKS)
        val ends = starts.mapIndexed { i, start ->
            EndedRow(i + 1L, start.task, start.run, RunEnd.DONE, "")
        }
        driver.recordsAtOnce = false
        driver.report(driver.freshPoll("w1"), ended = ends.take(REPORTED_ENDS))
        driver.step()
        expectThat(driver.starts.map { it.task }).isEmpty()
    }

    private companion object {
        const val REPORTED_ENDS = 500
        const val TASKS = 520
    }
}
