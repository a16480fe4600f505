package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Tests of tasks that crash the workers that start them. */
class DeadlyTaskTest {
    private val driver = SchedulerDriver()

    private fun workers(count: Int) = CrashingWorkers(driver, count).apply {
        list()
        run(500)
    }

    // Guards against a task that crashes one worker after the other.
    @Test
    fun `gives up a task under which two workers have crashed`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.submit("deadly", driver.taskStep())
        workers.run(30_000)
        expectThat(workers.startsOf("deadly")).hasSize(2)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a task that crashes one worker after the other under its ID.
    @Test
    fun `gives up a task under which two workers have restarted`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.keepsIds = true
        workers.submit("deadly", driver.taskStep())
        workers.run(30_000)
        expectThat(workers.startsOf("deadly")).hasSize(2)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a task that crashes one worker after the other until their leases lapse.
    @Test
    fun `gives up a task under which two workers have gone for longer than their lease`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.downMillis = 12_000
        workers.submit("deadly", driver.taskStep())
        workers.run(60_000)
        expectThat(workers.startsOf("deadly")).hasSize(2)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    // Guards against a lasting task that crashes one worker after the other.
    @Test
    fun `gives up a long-running task that crashes each worker on which it starts`() {
        val workers = workers(6)
        workers.deadly += "deadly"
        workers.submit("deadly", driver.taskStep().copy(isLongRunning = true))
        workers.run(30_000)
        expectThat(workers.startsOf("deadly").size).isLessThanOrEqualTo(MOST_STARTS)
        expectThat(workers.phaseOf("deadly")).isEqualTo(WorkflowPhase.FAILED)
    }

    private companion object {
        /** A task may start twice after three workers have crashed under it. */
        const val MOST_STARTS = 5
    }
}
