package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import sycamoremast.coordination.Resources

class WaitingTasksTest {
    private val driver = SchedulerDriver()
    private val workers = ObedientWorkers(driver, tailMillis = 10.0)
    private val events = ArrayList<SchedulerEvent>()

    private fun lasting(milliCpus: Long, memoryMib: Long = 1_000) =
        WorkflowStep(1, Resources(milliCpus, memoryMib), isLongRunning = true)

    private fun run(millis: Int) = repeat(millis / STEP_MILLIS) {
        workers.run(STEP_MILLIS)
        events += driver.actions.filterIsInstance<SchedulerAction.Log>().map { it.event }
            .filter { it.name == "task-waits" }
    }

    @Test
    fun `logs what a waiting long-running task lacks on the workers once a second`() {
        driver.listWorkers("w1", "w2", "w3")
        val full = driver.listing("w2").copy(capacity = Resources(32_000, 500))
        driver.scheduler.onWorkerListed(full, driver.now)
        workers.submit("first", lasting(20_000))
        workers.submit("second", lasting(20_000))
        workers.submit("third", lasting(20_000))
        run(3_000)
        expectThat(events).hasSize(3)
        val fields = events.first().fields
        expectThat(fields["waitedMillis"] as Long).isGreaterThan(999)
        expectThat(fields["obstacles"]).isEqualTo("CPU_TAKEN:2,MEMORY_TAKEN:1")
        expectThat(fields["suitableWorkers"]).isEqualTo(0)
        expectThat(fields["hasRun"]).isEqualTo(false)
    }

    @Test
    fun `logs nothing for long-running tasks that have found a worker`() {
        driver.listWorkers("w1")
        workers.submit("only", lasting(20_000))
        run(3_000)
        expectThat(events).isEmpty()
    }

    private companion object {
        const val STEP_MILLIS = 50
    }
}
